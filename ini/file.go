package ini

import "strings"

// File is the text of an INI file with its sections in order.
type File struct {
	name     string
	text     string
	sections []*Section
}

// Name returns the name of the file.
func (f *File) Name() string { return f.name }

// Text returns the complete text of the file.
func (f *File) Text() string { return f.text }

// Sections returns the sections in the order of the file. Of several
// sections with the same header it holds only the first.
func (f *File) Sections() []*Section { return f.sections }

// Section is one section with its keys and its place in the file's text.
type Section struct {
	file   *File
	header string
	line   int
	start  int
	end    int
	keys   []*Key
}

// Header returns the header without its brackets.
func (s *Section) Header() string { return s.header }

// Kind returns the first word of the header.
func (s *Section) Kind() string {
	kind, _, _ := strings.Cut(s.header, " ")
	return kind
}

// Name returns the second word of the header, empty if there is none.
func (s *Section) Name() string {
	_, name, _ := strings.Cut(s.header, " ")
	return name
}

// Line returns the line of the header.
func (s *Section) Line() int { return s.line }

// Text returns the raw text of the section with the comment lines directly
// above its header. The texts of all sections, joined, are the file's text.
func (s *Section) Text() string { return s.file.text[s.start:s.end] }

// Keys returns the keys in the order of the file.
func (s *Section) Keys() []*Key { return s.keys }

// Problem returns a problem at the line of the key or, if the section doesn't
// have the key, at the line of the header.
func (s *Section) Problem(key, message, allowed string) Problem {
	p := Problem{
		file:    s.file.name,
		line:    s.line,
		section: s.header,
		key:     key,
		message: message,
		allowed: allowed,
	}
	for _, k := range s.keys {
		if k.name == key {
			p.line = k.line
			break
		}
	}
	return p
}

// Key is one key of a section with its value.
type Key struct {
	name  string
	value string
	line  int
}

// Name returns the key's name.
func (k *Key) Name() string { return k.name }

// Value returns the key's value without the spaces around it.
func (k *Key) Value() string { return k.value }

// Line returns the key's line.
func (k *Key) Line() int { return k.line }
