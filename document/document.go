// Package document reads the operators' configuration document: one INI text
// whose sections are owned by different teams.
//
// # Usage
//
//	doc, problems := document.Parse("kalimera.ini", text)
//	if len(problems) > 0 {
//		// every problem has the file, the line and the allowed values
//	}
//	org, ok := doc.OrganisationByKey(bearerKey)
//
// A Document never changes after Parse. A running request keeps using the
// Document that it started with.
package document

import (
	"sort"

	"peridotusher.example/peridotusher/ini"
)

// Document is a complete, valid configuration.
type Document struct {
	revision      uint64
	order         []*ini.Section
	sections      map[string]*ini.Section
	owners        *owners
	policy        Policy
	classes       map[string]*Class
	organisations map[string]*Organisation
	models        map[string]*Model
	services      map[string]*Service
	teams         map[string]*Team
	rules         []*Rule
	byKeyHash     map[string]*Organisation
}

// Revision returns the document's revision in the store, zero if it was read from a file.
func (d *Document) Revision() uint64 { return d.revision }

// WithRevision returns a copy of the document at the given revision.
func (d *Document) WithRevision(revision uint64) *Document {
	c := *d
	c.revision = revision
	return &c
}

// Policy returns the limits and time limits of the routers' decisions.
func (d *Document) Policy() Policy { return d.policy }

// Class returns the class with the given name.
func (d *Document) Class(name string) (*Class, bool) { c, ok := d.classes[name]; return c, ok }

// Organisation returns the organisation with the given name.
func (d *Document) Organisation(name string) (*Organisation, bool) {
	o, ok := d.organisations[name]
	return o, ok
}

// OrganisationByKey returns the organisation that holds the bearer key.
func (d *Document) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := d.byKeyHash[HashKey(key)]
	return o, ok
}

// Model returns the model with the given name.
func (d *Document) Model(name string) (*Model, bool) { m, ok := d.models[name]; return m, ok }

// Service returns the plain service with the given name.
func (d *Document) Service(name string) (*Service, bool) { s, ok := d.services[name]; return s, ok }

// Team returns the operators' team with the given name.
func (d *Document) Team(name string) (*Team, bool) { t, ok := d.teams[name]; return t, ok }

// Rules returns the rules in document order. The first rule that matches
// an organisation and a model applies.
func (d *Document) Rules() []*Rule { return d.rules }

// Classes returns all classes, sorted by ascending priority number, then by name.
func (d *Document) Classes() []*Class {
	all := sortedValues(d.classes, func(c *Class) string { return c.name })
	sort.SliceStable(all, func(i, j int) bool { return all[i].priority < all[j].priority })
	return all
}

// Organisations returns all organisations, sorted by name.
func (d *Document) Organisations() []*Organisation {
	return sortedValues(d.organisations, func(o *Organisation) string { return o.name })
}

// Models returns all models, sorted by name.
func (d *Document) Models() []*Model {
	return sortedValues(d.models, func(m *Model) string { return m.name })
}

// Services returns all plain services, sorted by name.
func (d *Document) Services() []*Service {
	return sortedValues(d.services, func(s *Service) string { return s.name })
}

// Teams returns all teams, sorted by name.
func (d *Document) Teams() []*Team {
	return sortedValues(d.teams, func(t *Team) string { return t.name })
}

func sortedValues[T any](m map[string]T, name func(T) string) []T {
	all := make([]T, 0, len(m))
	for _, v := range m {
		all = append(all, v)
	}
	sort.Slice(all, func(i, j int) bool { return name(all[i]) < name(all[j]) })
	return all
}
