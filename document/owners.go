package document

import (
	"slices"
	"strings"
)

// owners holds the teams that own sections, by exact header and by header prefix.
type owners struct {
	exact    map[string][]string
	prefixes map[string][]string
}

func newOwners() *owners {
	return &owners{exact: map[string][]string{}, prefixes: map[string][]string{}}
}

func (o *owners) add(team, pattern string) {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		o.prefixes[prefix] = append(o.prefixes[prefix], team)
		return
	}
	o.exact[pattern] = append(o.exact[pattern], team)
}

// teamsOf returns the teams that own the section, without duplicates, ordered from the
// most specific pattern to the least specific.
func (o *owners) teamsOf(header string) []string {
	teams := appendUnique(nil, o.exact[header])
	for n := len(header); n >= 0; n-- {
		teams = appendUnique(teams, o.prefixes[header[:n]])
	}
	return teams
}

// appendUnique appends those names that are not in list.
func appendUnique(list, names []string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}
