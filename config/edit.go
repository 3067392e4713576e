package config

import (
	"crypto/subtle"
	"slices"
	"strings"

	"peridotusher.example/peridotusher/document"
)

// positionGap is the distance between the positions of adjacent sections in a
// new document. It leaves positions for sections that are inserted later.
const positionGap = 1 << 20

// Credentials identify the author of an edit. An empty team stands for the
// platform's operators, who may edit every section.
type Credentials struct {
	Team string
	Key  string
}

// Edit is a change of one section.
type Edit struct {
	Header string
	Text   string // new text, empty to remove the section
	Base   uint64 // version that the author read, 0 if there was no section
	After  string // header of the section after which a new one is inserted; empty for the end
}

// authorise checks the key and that the author's team owns the sections that change.
func (s *Snapshot) authorise(creds Credentials, edits []Edit) error {
	if !s.keyMatches(creds) {
		return &DeniedError{team: creds.Team}
	}
	if creds.Team == "" {
		return nil
	}
	for _, e := range edits {
		if normalise(e.Text) == s.Text(e.Header) {
			continue
		}
		owner, _ := s.doc.OwnerOf(e.Header)
		if owner != creds.Team {
			return &DeniedError{team: creds.Team, header: e.Header, owner: owner}
		}
	}
	return nil
}

// keyMatches reports whether the key belongs to the team or, without a team,
// to the platform's operators.
func (s *Snapshot) keyMatches(creds Credentials) bool {
	hash := s.head.GetOperator()
	if creds.Team != "" {
		team, ok := s.doc.Team(creds.Team)
		if !ok {
			return false
		}
		hash = team.KeyHash()
	}
	return subtle.ConstantTimeCompare([]byte(hash), []byte(document.HashKey(creds.Key))) == 1
}

// plan returns the difference that the edits make at the revision. Edits that
// do not change a section's text are left out.
func (s *Snapshot) plan(team string, edits []Edit, revision uint64) (difference, error) {
	var d difference
	var conflicts []Conflict
	positions := s.positionIndex()
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
			Position: positions.positionOf(e),
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

// normalise removes empty lines around the text and ends it with one empty
// line. A blank text becomes the empty string.
func normalise(text string) string {
	text = strings.TrimLeft(strings.TrimRight(text, " \t\r\n"), "\r\n")
	if text == "" {
		return ""
	}
	return text + "\n\n"
}

// positionIndex assigns positions to new sections. A document's sections are
// sorted by position.
type positionIndex struct {
	positions map[string]int64
	sorted    []int64
}

func (s *Snapshot) positionIndex() *positionIndex {
	p := &positionIndex{positions: make(map[string]int64, len(s.sections))}
	for header, section := range s.sections {
		p.positions[header] = section.GetPosition()
		p.sorted = append(p.sorted, section.GetPosition())
	}
	slices.Sort(p.sorted)
	return p
}

// positionOf returns the position of the edit's section. A new section gets the
// position halfway between the one that it follows and the next. If no free
// position is left there, two sections share one and are sorted by header.
func (p *positionIndex) positionOf(e Edit) int64 {
	if position, ok := p.positions[e.Header]; ok {
		return position
	}
	position := p.lastPosition() + positionGap
	if after, ok := p.positions[e.After]; ok {
		position = p.halfwayAfter(after)
	}
	p.positions[e.Header] = position
	index, _ := slices.BinarySearch(p.sorted, position)
	p.sorted = slices.Insert(p.sorted, index, position)
	return position
}

// lastPosition returns the highest position, 0 if there is none.
func (p *positionIndex) lastPosition() int64 {
	if len(p.sorted) == 0 {
		return 0
	}
	return p.sorted[len(p.sorted)-1]
}

// halfwayAfter returns a position between the given one and the next.
func (p *positionIndex) halfwayAfter(after int64) int64 {
	index, _ := slices.BinarySearch(p.sorted, after+1)
	if index == len(p.sorted) {
		return after + positionGap
	}
	return after + (p.sorted[index]-after)/2
}
