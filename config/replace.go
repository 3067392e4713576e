package config

import (
	"peridotusher.example/peridotusher/document"
)

// replacement returns the difference that leads to the whole document. A
// section whose text and position stay keeps its version.
func (s *Snapshot) replacement(doc *document.Document, revision uint64) difference {
	sections := map[string]*Section{}
	positions := s.positionsFor(doc.Sections())
	for i, header := range doc.Sections() {
		text, _ := doc.Section(header)
		next := &Section{Header: header, Text: normalise(text), Version: revision, Position: positions[i]}
		old := s.section(header)
		if old.GetText() == next.GetText() && old.GetPosition() == next.GetPosition() {
			next = old
		}
		sections[header] = next
	}
	return s.compare(sections)
}

// positionsFor returns rising positions for the headers. Sections that stand
// already keep theirs unless their order or a gap does not allow it.
func (s *Snapshot) positionsFor(headers []string) []int64 {
	positions := make([]int64, len(headers))
	last := int64(0)
	for i := 0; i < len(headers); {
		end := i
		for end < len(headers) && s.section(headers[end]) == nil {
			end++
		}
		step := int64(positionGap)
		if end < len(headers) {
			step = (s.section(headers[end]).GetPosition() - last) / int64(end-i+1)
		}
		if step <= 0 {
			return evenPositions(len(headers))
		}
		for ; i < end; i++ {
			last += step
			positions[i] = last
		}
		if end < len(headers) {
			last = s.section(headers[end]).GetPosition()
			positions[end] = last
			i = end + 1
		}
	}
	return positions
}

// evenPositions returns the positions of a new document.
func evenPositions(n int) []int64 {
	positions := make([]int64, n)
	for i := range positions {
		positions[i] = int64(i+1) * positionGap
	}
	return positions
}
