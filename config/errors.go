package config

import (
	"fmt"
	"strings"

	"peridotusher.example/peridotusher/ini"
)

// DeniedError means that the key is wrong or that the team does not own a section.
type DeniedError struct {
	team   string
	header string
	owner  string
}

// Error implements error.
func (e *DeniedError) Error() string {
	switch {
	case e.header == "":
		return fmt.Sprintf("the key is not that of team %q", e.team)
	case e.owner == "":
		return fmt.Sprintf("team %q may not edit [%s], which no team owns", e.team, e.header)
	default:
		return fmt.Sprintf("team %q may not edit [%s], which team %q owns", e.team, e.header, e.owner)
	}
}

// InvalidError means that the edited document has problems.
type InvalidError struct {
	problems []ini.Problem
}

// Problems returns the problems of the document.
func (e *InvalidError) Problems() []ini.Problem { return e.problems }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Conflict is a section that changed after the author read it.
type Conflict struct {
	Header string
	Base   uint64 // version that the author read; 0 for none
	Yours  string // text of the refused edit; empty to remove the section
	Theirs string // current text; empty if the section was removed
	Actual uint64 // current version
	Team   string // team that made the current version
}

// ConflictError means that sections changed after the author read them.
type ConflictError struct {
	conflicts []Conflict
}

// Conflicts returns the sections in conflict with both versions.
func (e *ConflictError) Conflicts() []Conflict { return e.conflicts }

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	for _, c := range e.conflicts {
		fmt.Fprintf(&b, "conflict in [%s]: you edited version %d, team %q made version %d meanwhile\n", c.Header, c.Base, c.Team, c.Actual)
		fmt.Fprintf(&b, "<<<<<<< yours\n%s=======\n%s>>>>>>> version %d\n", c.Yours, c.Theirs, c.Actual)
	}
	return b.String()
}
