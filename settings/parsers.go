package settings

import (
	"net/netip"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/ini"
)

// minSecret is the length of the shortest secret in characters.
const minSecret = 32

var (
	errForm  = errors.New("is not valid")
	errShort = errors.New("is too short")
)

// address returns a parser of http and https URLs whose host is IP:port.
func address() ini.Parser[string] {
	return ini.NewParser("http://IP:port/path or https://IP:port/path", func(text string) (string, error) {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
			return "", errForm
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return "", errForm
		}
		return text, nil
	})
}

// secret returns a parser of texts that are long enough to be a secret.
func secret() ini.Parser[string] {
	allowed := "at least " + strconv.Itoa(minSecret) + " characters"
	return ini.NewParser(allowed, func(text string) (string, error) {
		if len([]rune(text)) < minSecret {
			return "", errShort
		}
		return text, nil
	})
}
