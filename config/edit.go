package config

import (
	"crypto/subtle"
	"slices"
	"strings"

	"peridotusher.example/peridotusher/document"
)

// positionGap is the distance between the positions of two sections of a new document.
const positionGap = 1 << 20

// Credentials say who edits. An empty team stands for the platform's
// operators, who may edit every section.
type Credentials struct {
	Team string
	Key  string
}

// Edit is a change of one section.
type Edit struct {
	Header string
	Text   string // new text, empty to remove the section
	Base   uint64 // version that the editor read, 0 if there was no section
	After  string // header of the section that a new one follows; empty for the end
}

// authorise checks the key and that the editor owns the sections that change.
func (s *Snapshot) authorise(who Credentials, edits []Edit) error {
	if !s.keyMatches(who) {
		return &DeniedError{team: who.Team}
	}
	if who.Team == "" {
		return nil
	}
	for _, e := range edits {
		if normalise(e.Text) == s.Text(e.Header) {
			continue
		}
		owner, _ := s.doc.OwnerOf(e.Header)
		if owner != who.Team {
			return &DeniedError{team: who.Team, header: e.Header, owner: owner}
		}
	}
	return nil
}

// keyMatches reports whether the key is that of the team.
func (s *Snapshot) keyMatches(who Credentials) bool {
	hash := s.head.GetOperator()
	if who.Team != "" {
		team, ok := s.doc.Team(who.Team)
		if !ok {
			return false
		}
		hash = team.KeyHash()
	}
	return subtle.ConstantTimeCompare([]byte(hash), []byte(document.HashKey(who.Key))) == 1
}

// plan returns the difference that the edits make at the revision. Edits
// whose text stands already are left out.
func (s *Snapshot) plan(team string, edits []Edit, revision uint64) (difference, error) {
	var d difference
	var conflicts []Conflict
	places := s.places()
	for _, e := range edits {
		e.Text = normalise(e.Text)
		if e.Text == s.Text(e.Header) {
			continue
		}
		if s.Version(e.Header) != e.Base {
			conflicts = append(conflicts, s.conflict(e))
			continue
		}
		if e.Text == "" {
			d.removed = append(d.removed, e.Header)
			continue
		}
		d.changed = append(d.changed, &Section{
			Header:   e.Header,
			Text:     e.Text,
			Version:  revision,
			Team:     team,
			Position: places.of(e),
		})
	}
	if len(conflicts) > 0 {
		return difference{}, &ConflictError{conflicts: conflicts}
	}
	return d, nil
}

func (s *Snapshot) conflict(e Edit) Conflict {
	return Conflict{
		Header: e.Header,
		Base:   e.Base,
		Yours:  e.Text,
		Theirs: s.Text(e.Header),
		Actual: s.Version(e.Header),
		Team:   s.Team(e.Header),
	}
}

// normalise returns the text without empty lines around it and with one at its
// end, or nothing.
func normalise(text string) string {
	text = strings.TrimLeft(strings.TrimRight(text, " \t\r\n"), "\r\n")
	if text == "" {
		return ""
	}
	return text + "\n\n"
}

// places finds the positions of new sections.
type places struct {
	positions map[string]int64
	sorted    []int64
}

func (s *Snapshot) places() *places {
	p := &places{positions: make(map[string]int64, len(s.sections))}
	for header, section := range s.sections {
		p.positions[header] = section.GetPosition()
		p.sorted = append(p.sorted, section.GetPosition())
	}
	slices.Sort(p.sorted)
	return p
}

// of returns the position of the edit's section. A new section stands halfway
// between the one that it follows and the next. Sections at the same position
// stand by header.
func (p *places) of(e Edit) int64 {
	if position, ok := p.positions[e.Header]; ok {
		return position
	}
	position := p.last() + positionGap
	if after, ok := p.positions[e.After]; ok {
		position = p.between(after)
	}
	p.positions[e.Header] = position
	at, _ := slices.BinarySearch(p.sorted, position)
	p.sorted = slices.Insert(p.sorted, at, position)
	return position
}

func (p *places) last() int64 {
	if len(p.sorted) == 0 {
		return 0
	}
	return p.sorted[len(p.sorted)-1]
}

func (p *places) between(after int64) int64 {
	at, _ := slices.BinarySearch(p.sorted, after+1)
	if at == len(p.sorted) {
		return after + positionGap
	}
	return after + (p.sorted[at]-after)/2
}
