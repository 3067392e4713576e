package settings

import (
	"strings"

	"peridotusher.example/peridotusher/ini"
)

// table holds how one section of the settings is decoded and documented.
type table struct {
	name      string
	decode    func(section *ini.Section) []ini.Problem
	reference func() string
}

func newTable[T any](name string, fields []ini.Field[T], target *T) table {
	return table{
		name:      name,
		decode:    func(section *ini.Section) []ini.Problem { return ini.Fill(section, fields, target) },
		reference: func() string { return ini.Reference(name, fields) },
	}
}

// tables returns the tables of all sections. Their decode functions write into s.
func (s *Settings) tables() []table {
	return []table{
		newTable("router", routerFields, &s.router),
		newTable("caller", callerFields, &s.caller),
		newTable("operator", operatorFields, &s.operator),
		newTable("peer", peerFields, &s.peer),
		newTable("store", storeFields, &s.store),
		newTable("hosts", hostsFields, &s.hosts),
		newTable("weights", weightsFields, &s.weights),
		newTable("stream", streamFields, &s.stream),
	}
}

// Reference returns the tables of every section's keys in Markdown.
func Reference() string {
	var parts []string
	for _, t := range (&Settings{}).tables() {
		parts = append(parts, t.reference())
	}
	return strings.Join(parts, "\n")
}
