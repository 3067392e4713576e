package config

import (
	"context"

	"peridotusher.example/peridotusher/document"
)

// Replace replaces the complete document, as the platform's operators. The
// first call on an empty store sets the operators' key. A section whose text and
// position do not change keeps its version. The new revision is higher than
// above: after the store was restored from a backup, routers may hold a higher
// revision than the store, and adopt only one that is higher still.
func (e *Editor) Replace(ctx context.Context, key string, text []byte, above uint64) (Accepted, error) {
	return e.rewrite(ctx, key, above, func([]byte) []byte { return text })
}

// Rewrite replaces the complete document by the result of edit, as the
// platform's operators. edit is called again if others edit meanwhile.
func (e *Editor) Rewrite(ctx context.Context, key string, edit func(text []byte) []byte) (Accepted, error) {
	return e.rewrite(ctx, key, 0, edit)
}

func (e *Editor) rewrite(ctx context.Context, key string, above uint64, edit func(text []byte) []byte) (Accepted, error) {
	return e.retry(ctx, func(b base, change string) (*proposal, error) {
		head := e.nextHead(nil, "", change)
		head.Generation = change
		head.Operator = document.HashKey(key)
		var old []byte
		if b.snapshot != nil {
			if !b.snapshot.keyMatches(Credentials{Key: key}) {
				return nil, &DeniedError{}
			}
			head = e.nextHead(b.snapshot.head, "", change)
			old = []byte(b.snapshot.text())
		}
		doc, problems := document.Parse("document", edit(old))
		if len(problems) > 0 {
			return nil, &InvalidError{problems: problems}
		}
		head.Revision = max(head.GetRevision(), above+1)
		d := b.snapshot.replacement(doc, head.GetRevision())
		if d.count() == 0 && b.snapshot.Revision() > above {
			return nil, nil
		}
		return propose(b, head, d)
	})
}

// replacement returns the difference that leads to the given document. A
// section whose text and position do not change keeps its version.
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
	return s.differenceTo(sections)
}

// positionsFor returns increasing positions for the headers. Existing sections
// keep theirs, unless their order changed or a gap is too small for the new
// sections in it; then all positions are assigned anew.
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

// evenPositions returns n positions that are positionGap apart.
func evenPositions(n int) []int64 {
	positions := make([]int64, n)
	for i := range positions {
		positions[i] = int64(i+1) * positionGap
	}
	return positions
}
