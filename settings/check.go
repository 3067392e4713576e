package settings

import (
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/ini"
)

// check reports combinations of keys that are not valid together. It skips a
// section with earlier problems, since its values are incomplete.
func (s *Settings) check(file *ini.File, earlier []ini.Problem) []ini.Problem {
	broken := map[string]bool{}
	for _, p := range earlier {
		broken[p.Section()] = true
	}
	var problems []ini.Problem
	for _, section := range file.Sections() {
		if section.Header() == "peer" && !broken["peer"] {
			problems = append(problems, s.peer.check(section)...)
		}
	}
	return problems
}

// check verifies that other routers can reach the advertised address, and that
// cert, key, ca and plain agree with each other.
func (p Peer) check(section *ini.Section) []ini.Problem {
	var problems []ini.Problem
	if netip.MustParseAddrPort(p.advertise).Addr().IsUnspecified() {
		problems = append(problems, section.Problem("advertise", "other routers can't reach the address "+p.advertise, "an IP of this host, with its port"))
	}
	named := 0
	for _, path := range []string{p.cert, p.key, p.ca} {
		if path != "" {
			named++
		}
	}
	const all = 3
	switch {
	case named > 0 && named < all:
		problems = append(problems, section.Problem("cert", "only some of cert, key and ca are named", "all three, or none"))
	case named == all && p.plain:
		problems = append(problems, section.Problem("plain", "certificates are named too", "no with certificates"))
	case named == 0 && !p.plain && !p.loopback():
		problems = append(problems, section.Problem("plain", "plain TCP would leave this host", "yes, or cert, key and ca"))
	}
	return problems
}

// loopback returns whether the links between routers stay on this host.
func (p Peer) loopback() bool {
	return isLoopback(p.listen) && isLoopback(p.advertise)
}

func isLoopback(address string) bool {
	return netip.MustParseAddrPort(address).Addr().IsLoopback()
}

// CheckFile reads a file as settings or as a configuration document and returns
// its problems. The kinds of its sections decide which of the two it is.
func CheckFile(path string) ([]ini.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the file to check")
	}
	if isSettings(path, text) {
		_, problems := Parse(path, text)
		return problems, nil
	}
	_, problems := document.Parse(path, text)
	return problems, nil
}

// isSettings returns whether the file has more sections of the settings than of a document.
func isSettings(path string, text []byte) bool {
	own := map[string]bool{}
	for _, t := range (&Settings{}).tables() {
		own[t.name] = true
	}
	other := map[string]bool{}
	for _, kind := range document.Kinds() {
		other[kind] = true
	}
	file, _ := ini.Read(path, text)
	score := 0
	for _, section := range file.Sections() {
		switch {
		case own[section.Kind()]:
			score++
		case other[section.Kind()]:
			score--
		}
	}
	return score > 0
}
