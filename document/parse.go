package document

import (
	"peridotusher.example/peridotusher/ini"
)

// Parse parses a complete document; name is the file name in the problems. It
// returns no document if there is any problem.
func Parse(name string, text []byte) (*Document, []ini.Problem) {
	file, problems := ini.Read(name, text)
	d := newDocument(len(file.Sections()))
	for _, s := range file.Sections() {
		d.add(s)
	}
	problems = append(problems, file.Decode(d.kinds())...)
	return d.validate(problems)
}

// validate runs the checks between sections and adds their problems to the given ones.
// It returns no document if there is any problem.
func (d *Document) validate(problems []ini.Problem) (*Document, []ini.Problem) {
	problems = append(problems, newChecker(d, problems).run()...)
	if len(problems) > 0 {
		ini.Sort(problems)
		return nil, problems
	}
	return d, nil
}

// Kinds returns the kinds of section that a document may have.
func Kinds() []string {
	return []string{"policy", "class", "organisation", "model", "service", "rule", "team"}
}

func newDocument(sections int) *Document {
	d := &Document{
		sections:      make(map[string]*ini.Section, sections),
		classes:       map[string]*Class{},
		organisations: map[string]*Organisation{},
		models:        map[string]*Model{},
		services:      map[string]*Service{},
		teams:         map[string]*Team{},
		byKeyHash:     map[string]*Organisation{},
		owners:        newOwners(),
	}
	ini.Defaults(allPolicyFields(), &d.policy)
	return d
}

// add appends a section without decoding it.
func (d *Document) add(s *ini.Section) {
	d.order = append(d.order, s)
	d.sections[s.Header()] = s
}

func (d *Document) kinds() map[string]ini.Kind {
	return map[string]ini.Kind{
		"policy":       {Decode: d.decodePolicy},
		"class":        {Named: true, Decode: d.decodeClass},
		"organisation": {Named: true, Decode: d.decodeOrganisation},
		"model":        {Named: true, Decode: d.decodeModel},
		"service":      {Named: true, Decode: d.decodeService},
		"rule":         {Named: true, Decode: d.decodeRule},
		"team":         {Named: true, Decode: d.decodeTeam},
	}
}

func (d *Document) decodePolicy(s *ini.Section) []ini.Problem {
	return ini.Fill(s, allPolicyFields(), &d.policy)
}

func (d *Document) decodeClass(s *ini.Section) []ini.Problem {
	c := &Class{name: s.Name()}
	d.classes[c.name] = c
	return ini.Fill(s, classFields, c)
}

func (d *Document) decodeOrganisation(s *ini.Section) []ini.Problem {
	o := &Organisation{name: s.Name()}
	d.organisations[o.name] = o
	return ini.Fill(s, organisationFields, o)
}

func (d *Document) decodeModel(s *ini.Section) []ini.Problem {
	m := &Model{name: s.Name()}
	d.models[m.name] = m
	return ini.Fill(s, modelFields, m)
}

func (d *Document) decodeService(s *ini.Section) []ini.Problem {
	v := &Service{name: s.Name()}
	d.services[v.name] = v
	return ini.Fill(s, serviceFields, v)
}

func (d *Document) decodeRule(s *ini.Section) []ini.Problem {
	r := &Rule{name: s.Name()}
	d.rules = append(d.rules, r)
	return ini.Fill(s, ruleFields, r)
}

func (d *Document) decodeTeam(s *ini.Section) []ini.Problem {
	t := &Team{name: s.Name()}
	d.teams[t.name] = t
	return ini.Fill(s, teamFields, t)
}
