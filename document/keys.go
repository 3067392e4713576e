package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const hashPrefix = "sha256:"

// HashKey returns the form in which a key stands in the document: "sha256:" and the hash in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

func (r Route) matches(method, path string) bool {
	if r.method != "*" && r.method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.path == path
}
