package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/ini"
)

// maxRemovals bounds the removals that a snapshot keeps for deltas to peers.
const maxRemovals = 256

var (
	errHashMismatch = errors.New("the sections do not add up to the head")
	errNotNewer     = errors.New("the received revision is not higher than the one in force")
)

// Snapshot is one accepted state of the document. It is immutable.
type Snapshot struct {
	head               *Head
	sections           map[string]*Section
	doc                *document.Document
	removals           []*Removal // the latest removals, oldest first
	removalsKnownSince uint64     // removals holds every removal after this revision
}

// Revision returns the document's revision.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.head.GetRevision()
}

// Document returns the document.
func (s *Snapshot) Document() *document.Document { return s.doc }

// Version returns the revision at which the section last changed, or 0 if it does not exist.
func (s *Snapshot) Version(header string) uint64 { return s.section(header).GetVersion() }

// Text returns the text of a section, empty if it does not exist.
func (s *Snapshot) Text(header string) string { return s.section(header).GetText() }

// Team returns the team that last changed the section.
func (s *Snapshot) Team(header string) string { return s.section(header).GetTeam() }

func (s *Snapshot) section(header string) *Section {
	if s == nil {
		return nil
	}
	return s.sections[header]
}

// difference holds the sections that change from one snapshot to the next.
type difference struct {
	changed []*Section
	removed []string
}

// count returns the number of sections that differ.
func (d difference) count() int { return len(d.changed) + len(d.removed) }

// headers returns the headers of the sections that differ, sorted.
func (d difference) headers() []string {
	headers := slices.Clone(d.removed)
	for _, c := range d.changed {
		headers = append(headers, c.GetHeader())
	}
	slices.Sort(headers)
	return headers
}

// differenceTo returns the difference between the snapshot and the given sections.
func (s *Snapshot) differenceTo(sections map[string]*Section) difference {
	var d difference
	for header, next := range sections {
		if !equalSections(s.section(header), next) {
			d.changed = append(d.changed, next)
		}
	}
	if s == nil {
		return d
	}
	for header := range s.sections {
		if _, ok := sections[header]; !ok {
			d.removed = append(d.removed, header)
		}
	}
	return d
}

// equalSections reports whether two sections are equal; the first may be nil.
func equalSections(a, b *Section) bool {
	if a == nil || a == b {
		return a == b
	}
	return a.GetVersion() == b.GetVersion() && a.GetPosition() == b.GetPosition() &&
		a.GetTeam() == b.GetTeam() && a.GetText() == b.GetText()
}

// next returns the snapshot after the difference and the problems of its
// document. The receiver may be nil. It returns errHashMismatch if the sections
// do not have the hash that the head names.
func (s *Snapshot) next(head *Head, d difference) (*Snapshot, []ini.Problem, error) {
	result := &Snapshot{head: head, sections: map[string]*Section{}, removalsKnownSince: head.GetRevision()}
	var hash uint64
	if s != nil {
		result.sections = maps.Clone(s.sections)
		result.removalsKnownSince = s.removalsKnownSince
		hash = s.head.GetHash()
	}
	for _, header := range d.removed {
		hash -= result.removeSection(header)
	}
	for _, c := range d.changed {
		hash -= result.removeSection(c.GetHeader())
		hash += sectionHash(c)
		result.sections[c.GetHeader()] = c
	}
	if hash != head.GetHash() {
		return nil, nil, errHashMismatch
	}
	result.recordRemovals(s, d.removed)
	problems := result.parse(s, d)
	return result, problems, nil
}

// removeSection removes a section and returns its hash, 0 if it does not exist.
func (s *Snapshot) removeSection(header string) uint64 {
	old, ok := s.sections[header]
	if !ok {
		return 0
	}
	delete(s.sections, header)
	return sectionHash(old)
}

// recordRemovals appends to the old snapshot's removals and keeps the latest maxRemovals.
func (s *Snapshot) recordRemovals(old *Snapshot, removed []string) {
	if old == nil {
		return
	}
	s.removals = slices.Clone(old.removals)
	for _, header := range removed {
		s.removals = append(s.removals, &Removal{Header: header, Version: s.Revision()})
	}
	if extra := len(s.removals) - maxRemovals; extra > 0 {
		s.removalsKnownSince = s.removals[extra-1].GetVersion()
		s.removals = slices.Clone(s.removals[extra:])
	}
}

// parse makes the document from the sections. If the old snapshot has a
// document, only the sections that changed are parsed.
func (s *Snapshot) parse(old *Snapshot, d difference) []ini.Problem {
	var doc *document.Document
	var problems []ini.Problem
	if old == nil || old.doc == nil {
		doc, problems = document.Parse("configuration", []byte(s.text()))
	} else {
		texts := make(map[string]string, len(d.changed))
		for _, c := range d.changed {
			texts[c.GetHeader()] = c.GetText()
		}
		doc, problems = old.doc.Update(s.order(), texts)
	}
	if doc != nil {
		s.doc = doc.WithRevision(s.Revision())
	}
	return problems
}

// order returns the headers of all sections in document order.
func (s *Snapshot) order() []string {
	sorted := s.sorted()
	headers := make([]string, len(sorted))
	for i, section := range sorted {
		headers[i] = section.GetHeader()
	}
	return headers
}

// sorted returns all sections in document order.
func (s *Snapshot) sorted() []*Section {
	return slices.SortedFunc(maps.Values(s.sections), func(a, b *Section) int {
		return cmp.Or(cmp.Compare(a.GetPosition(), b.GetPosition()), cmp.Compare(a.GetHeader(), b.GetHeader()))
	})
}

// text returns the text of all sections in document order.
func (s *Snapshot) text() string {
	var b strings.Builder
	for _, section := range s.sorted() {
		b.WriteString(section.GetText())
	}
	return b.String()
}

// Headers returns the headers of all sections in document order.
func (s *Snapshot) Headers() []string { return s.order() }
