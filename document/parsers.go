package document

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/ini"
)

const percent = 100

var errInvalid = errors.New("is not valid")

// KeyHashParser returns a parser of key hashes in the form of HashKey.
func KeyHashParser() ini.Parser[string] {
	const hexDigits = 64
	return ini.NewParser("sha256: and 64 hex digits a-f in lower case", func(text string) (string, error) {
		digits, ok := strings.CutPrefix(text, hashPrefix)
		if !ok || len(digits) != hexDigits || strings.ToLower(digits) != digits {
			return "", errInvalid
		}
		if _, err := hex.DecodeString(digits); err != nil {
			return "", errInvalid
		}
		return text, nil
	})
}

// replicaParser returns a parser of replicas such as 10.0.0.1:80@a: IP, port and availability zone.
func replicaParser() ini.Parser[Replica] {
	return ini.NewParser("IP:port@zone", func(text string) (Replica, error) {
		address, zone, ok := strings.Cut(text, "@")
		if !ok || zone == "" || strings.ContainsAny(zone, " @") {
			return Replica{}, errInvalid
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return Replica{}, errInvalid
		}
		return Replica{address: address, zone: zone}, nil
	})
}

// routeParser returns a parser of routes: a method and a path pattern, separated by a space.
func routeParser() ini.Parser[Route] {
	return ini.NewParser("METHOD /path, a method or *, and a path that may end in *", func(text string) (Route, error) {
		method, path, ok := strings.Cut(text, " ")
		if !ok || !validMethod(method) || !validPath(path) {
			return Route{}, errInvalid
		}
		return Route{method: method, path: path}, nil
	})
}

func validMethod(method string) bool {
	if method == "*" {
		return true
	}
	return method != "" && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func validPath(path string) bool {
	return strings.HasPrefix(path, "/") && onlyTrailingStar(path) && !strings.ContainsAny(path, " \t?#")
}

func onlyTrailingStar(s string) bool {
	return !strings.Contains(strings.TrimSuffix(s, "*"), "*")
}

// patternParser returns a parser of section patterns such as "organisation shop-*".
func patternParser() ini.Parser[string] {
	allowed := "a section's header, which may end in *; its kind is one of " + strings.Join(Kinds(), ", ")
	return ini.NewParser(allowed, func(text string) (string, error) {
		if text == "*" {
			return text, nil
		}
		kind, name, named := strings.Cut(text, " ")
		known := slices.Contains(Kinds(), kind)
		if !known || named == (kind == "policy") || !onlyTrailingStar(name) || strings.Contains(name, " ") {
			return "", errInvalid
		}
		return text, nil
	})
}

// versionsParser returns a parser of versions with shares that sum to 100.
func versionsParser() ini.Parser[[]Version] {
	allowed := "a comma list, each item: version:share; the shares are from 0 to 100 and sum to 100"
	return ini.NewParser(allowed, func(text string) ([]Version, error) {
		var list []Version
		seen := map[string]bool{}
		sum := 0
		for _, part := range strings.Split(text, ",") {
			v, err := parseVersion(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			if seen[v.name] {
				return nil, errors.Newf("names %s twice", v.name)
			}
			seen[v.name] = true
			sum += v.share
			list = append(list, v)
		}
		if sum != percent {
			return nil, errors.Newf("has shares that sum to %d", sum)
		}
		return list, nil
	})
}

func parseVersion(text string) (Version, error) {
	name, digits, ok := strings.Cut(text, ":")
	if !ok || name == "" || strings.Contains(name, " ") {
		return Version{}, errInvalid
	}
	share, err := strconv.Atoi(digits)
	if err != nil {
		return Version{}, errInvalid
	}
	if share < 0 || share > percent {
		return Version{}, errors.New("has a share out of range")
	}
	return Version{name: name, share: share}, nil
}
