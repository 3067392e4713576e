package ini

import (
	"strings"
	"unicode/utf8"

	library "gopkg.in/ini.v1"
)

// Read parses an INI file and reports every line that is not valid. The
// File holds the valid sections and keys.
func Read(name string, text []byte) (*File, []Problem) {
	f := &File{name: name, text: string(text)}
	if !utf8.ValidString(f.text) {
		return f, []Problem{{file: name, message: "the text is not UTF-8"}}
	}
	s := newScanner(f)
	s.run()
	values, err := library.LoadSources(options, []byte(s.clean.String()))
	if err != nil {
		s.problems = append(s.problems, Problem{file: name, message: err.Error()})
		return f, s.problems
	}
	for _, section := range f.sections {
		parsed := values.Section(section.header)
		for _, k := range section.keys {
			k.value = parsed.Key(k.name).Value()
		}
	}
	return f, s.problems
}

var options = library.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "\n",
}

// scanner records the lines of sections and keys, and copies the valid lines to
// clean, the text that the library parses.
type scanner struct {
	file     *File
	clean    strings.Builder
	problems []Problem
	// seen and keys hold the first line of each header, and of each key of the current section.
	seen    map[string]int
	keys    map[string]int
	section *Section
	// skip is set inside a section whose header is not valid or occurred before.
	skip bool
	line int
	// comment is the offset of the block of comment lines that ends directly above
	// the current line, or -1 if there is none.
	comment int
}

func newScanner(f *File) *scanner {
	return &scanner{file: f, seen: map[string]int{}, comment: -1}
}

func (s *scanner) run() {
	text := s.file.text
	for offset := 0; offset < len(text); {
		end := len(text)
		if i := strings.IndexByte(text[offset:], '\n'); i >= 0 {
			end = offset + i + 1
		}
		s.line++
		s.scanLine(offset, strings.TrimSpace(text[offset:end]))
		offset = end
	}
	s.endSection(len(text))
	if len(s.file.sections) > 0 {
		s.file.sections[0].start = 0
	}
}

func (s *scanner) scanLine(offset int, line string) {
	if isComment(line) {
		if s.comment < 0 {
			s.comment = offset
		}
		return
	}
	start := offset
	if s.comment >= 0 {
		start = s.comment
	}
	s.comment = -1
	switch {
	case line == "":
	case strings.IndexFunc(line, isControl) >= 0:
		s.report("", "the line holds a control character", "printable text")
	case line[0] == '[':
		s.scanHeader(start, line)
	default:
		s.scanKey(line)
	}
}

func (s *scanner) scanHeader(start int, line string) {
	s.skip = true
	header, ok := strings.CutSuffix(line[1:], "]")
	if !ok || !validHeader(header) {
		s.endSection(start)
		s.section = nil
		s.report("", "the header "+line+" is not valid", "[kind] or [kind name]; a kind is a-z, a name is letters, digits and . _ - / :")
		return
	}
	if first, ok := s.seen[header]; ok {
		p := Problem{file: s.file.name, line: s.line, section: header}
		p.message = "the section stands twice, first in line " + number(first)
		s.problems = append(s.problems, p)
		return
	}
	s.endSection(start)
	s.skip = false
	s.seen[header] = s.line
	s.keys = map[string]int{}
	s.section = &Section{file: s.file, header: header, line: s.line, start: start}
	s.file.sections = append(s.file.sections, s.section)
	s.copyLine(line)
}

// endSection sets the end of the current section, if any, to the offset.
func (s *scanner) endSection(offset int) {
	if s.section != nil {
		s.section.end = offset
	}
}

func (s *scanner) scanKey(line string) {
	name, value, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !ok:
		s.report("", "the line is neither a section, a key nor a comment", "key = value")
	case !validWord(name):
		s.report("", "the key name "+quote(name)+" is not valid", "a word of a-z")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`):
		s.report(name, "the value is quoted", "a value without quotes")
	case s.section == nil && !s.skip:
		s.report(name, "the key stands before the first section", "")
	case s.skip:
	case s.keys[name] > 0:
		s.report(name, "the key stands twice, first in line "+number(s.keys[name]), "")
	default:
		s.keys[name] = s.line
		s.section.keys = append(s.section.keys, &Key{name: name, line: s.line})
		s.copyLine(line)
	}
}

func (s *scanner) copyLine(line string) {
	s.clean.WriteString(line)
	s.clean.WriteByte('\n')
}

func (s *scanner) report(key, message, allowed string) {
	p := Problem{file: s.file.name, line: s.line, key: key, message: message, allowed: allowed}
	if s.section != nil {
		p.section = s.section.header
	}
	s.problems = append(s.problems, p)
}
