package ini

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a file, with its place and what is allowed there.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	message string
	allowed string
}

// NewProblem returns a problem of a whole file.
func NewProblem(file string, line int, message string) Problem {
	return Problem{file: file, line: line, message: message}
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line in the file, from 1, or 0 for the whole file.
func (p Problem) Line() int { return p.line }

// Section returns the header of the section without its brackets, empty for the whole file.
func (p Problem) Section() string { return p.section }

// Key returns the name of the key, empty for the whole section.
func (p Problem) Key() string { return p.key }

// Message returns what is wrong.
func (p Problem) Message() string { return p.message }

// Allowed returns what may stand there, empty if the message says it.
func (p Problem) Allowed() string { return p.allowed }

// String returns the problem as "file:line: [section] key: message; allowed: text".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.file, p.line)
	if p.section != "" {
		fmt.Fprintf(&b, "[%s] ", p.section)
	}
	if p.key != "" {
		fmt.Fprintf(&b, "%s: ", p.key)
	}
	b.WriteString(p.message)
	if p.allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.allowed)
	}
	return b.String()
}

// Sort orders problems by line and keeps the order of those in one line.
func Sort(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].line < problems[j].line })
}
