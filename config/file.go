package config

import (
	"context"

	"peridotusher.example/peridotusher/ini"
)

// Edits returns an edit for each section of a file that was written from the
// document at the revision base. A new section follows the one above it in the file.
func (s *Snapshot) Edits(name string, text []byte, base uint64) ([]Edit, error) {
	file, problems := ini.Read(name, text)
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	var edits []Edit
	above := ""
	for _, section := range file.Sections() {
		header := section.Header()
		edits = append(edits, Edit{Header: header, Text: section.Text(), Base: s.BaseVersion(header, base), After: above})
		above = header
	}
	return edits, nil
}

// BaseVersion returns the version that a section had at the revision base. For
// a section that changed since then it returns base, which differs from the
// current version and so leads to a conflict.
func (s *Snapshot) BaseVersion(header string, base uint64) uint64 {
	return min(s.Version(header), base)
}

// Check returns the error that Apply would return for the edits, without making them.
func (e *Editor) Check(ctx context.Context, creds Credentials, edits []Edit) error {
	b, err := e.load(ctx)
	if err != nil {
		return err
	}
	if b.snapshot == nil {
		return errNoHead
	}
	if err := b.snapshot.authorise(creds, edits); err != nil {
		return err
	}
	head := e.nextHead(b.snapshot.head, creds.Team, "")
	d, err := b.snapshot.plan(creds.Team, edits, head.GetRevision())
	if err != nil {
		return err
	}
	_, err = propose(b, head, d)
	return err
}
