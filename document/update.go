package document

import (
	"peridotusher.example/peridotusher/ini"
)

// Update returns a document of the sections with the given headers, in that
// order. changed holds the texts of changed and new sections by header; all
// others are shared with d without parsing them again. It returns no document
// if there is any problem. Lines in problems count from the section's start.
func (d *Document) Update(order []string, changed map[string]string) (*Document, []ini.Problem) {
	next := newDocument(len(order))
	var problems []ini.Problem
	for _, header := range order {
		text, ok := changed[header]
		if ok {
			problems = append(problems, next.readSection(header, text)...)
			continue
		}
		s, ok := d.sections[header]
		if !ok {
			problems = append(problems, ini.NewProblem(header, 0, "the section has no text"))
			continue
		}
		next.add(s)
		next.copyDecoded(d, s)
	}
	return next.validate(problems)
}

// readSection parses the text of one section, adds it and decodes it.
func (d *Document) readSection(header, text string) []ini.Problem {
	file, problems := ini.Read(header, []byte(text))
	sections := file.Sections()
	if len(sections) != 1 || sections[0].Header() != header {
		return append(problems, ini.NewProblem(header, 0, "the text is not that of the one section ["+header+"]"))
	}
	d.add(sections[0])
	return append(problems, file.Decode(d.kinds())...)
}

// copyDecoded copies the decoded form of an unchanged section from another document.
func (d *Document) copyDecoded(from *Document, s *ini.Section) {
	name := s.Name()
	switch s.Kind() {
	case "policy":
		d.policy = from.policy
	case "class":
		d.classes[name] = from.classes[name]
	case "organisation":
		d.organisations[name] = from.organisations[name]
	case "model":
		d.models[name] = from.models[name]
	case "service":
		d.services[name] = from.services[name]
	case "rule":
		d.rules = append(d.rules, from.rule(name))
	case "team":
		d.teams[name] = from.teams[name]
	}
}

// rule returns the rule with the given name.
func (d *Document) rule(name string) *Rule {
	for _, r := range d.rules {
		if r.name == name {
			return r
		}
	}
	return nil
}
