package settings

import (
	"net/netip"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/ini"
)

// minSecret is the minimum length of a secret, in characters.
const minSecret = 32

var (
	errInvalid  = errors.New("is not valid")
	errTooShort = errors.New("is too short")
)

// urlParser returns a parser of http and https URLs with IP:port as their host and without user information.
func urlParser() ini.Parser[string] {
	return ini.NewParser("http://IP:port/path or https://IP:port/path", func(text string) (string, error) {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
			return "", errInvalid
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return "", errInvalid
		}
		return text, nil
	})
}

// secretParser returns a parser of secrets, which have at least minSecret characters.
func secretParser() ini.Parser[string] {
	allowed := "at least " + strconv.Itoa(minSecret) + " characters"
	return ini.NewParser(allowed, func(text string) (string, error) {
		if len([]rune(text)) < minSecret {
			return "", errTooShort
		}
		return text, nil
	})
}
