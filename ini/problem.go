package ini

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a file, with its position and the values allowed there.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	message string
	allowed string
}

// NewProblem returns a problem that belongs to no section; line is 0 if it concerns the whole file.
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

// Allowed describes the allowed values, empty if the message suffices.
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

// Sort sorts problems by line. Problems of the same line keep their order.
func Sort(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].line < problems[j].line })
}
