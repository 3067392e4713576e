package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const hashPrefix = "sha256:"

// HashKey returns a key's hash in the form that the document uses: "sha256:" and
// the SHA-256 hash in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// matches returns whether a call with the method and path matches the route.
func (r Route) matches(method, path string) bool {
	if r.method != "*" && r.method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.path == path
}
