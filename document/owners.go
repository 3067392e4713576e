package document

import (
	"slices"
	"strings"
)

// owners finds the teams that own a section, by exact headers and by prefixes.
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

// of returns the owners of the section, the one with the longest pattern first, each once.
func (o *owners) of(header string) []string {
	teams := unique(nil, o.exact[header])
	for n := len(header); n >= 0; n-- {
		teams = unique(teams, o.prefixes[header[:n]])
	}
	return teams
}

// unique appends the names that list does not hold yet.
func unique(list, names []string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}
