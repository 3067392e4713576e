package document

import (
	"fmt"
	"math"

	"peridotusher.example/peridotusher/ini"
)

// checker reports the problems between sections and fills the document's indexes by key
// hash and owner.
type checker struct {
	document *Document
	// invalidSections holds the headers of the sections that had problems
	// when they were decoded. They aren't checked, since their values are incomplete.
	invalidSections map[string]bool
	problems        []ini.Problem
}

func newChecker(d *Document, problems []ini.Problem) *checker {
	c := &checker{document: d, invalidSections: map[string]bool{}}
	for _, p := range problems {
		c.invalidSections[p.Section()] = true
	}
	return c
}

func (c *checker) run() []ini.Problem {
	c.classes()
	c.organisations()
	c.services()
	c.rules()
	c.teams()
	c.owners()
	return c.problems
}

func (c *checker) report(header, key, message, allowed string) {
	c.problems = append(c.problems, c.document.sections[header].Problem(key, message, allowed))
}

func (c *checker) classes() {
	smallest := c.smallestModel()
	for _, class := range c.document.Classes() {
		header := "class " + class.name
		if c.invalidSections[header] {
			continue
		}
		if class.firstToken >= class.deadline {
			c.report(header, "first", "the first token is due no earlier than the whole answer",
				fmt.Sprintf("less than the deadline of %v", class.deadline))
		}
		if smallest != nil && class.work > smallest.slots {
			c.report(header, "work", fmt.Sprintf("one request is more work than an engine of model %s runs", smallest.name),
				fmt.Sprintf("at most its %d slots", smallest.slots))
		}
	}
}

// smallestModel returns the model with the fewest slots, or nil if there is none.
func (c *checker) smallestModel() *Model {
	var smallest *Model
	fewest := math.MaxInt
	for _, m := range c.document.Models() {
		if c.invalidSections["model "+m.name] {
			continue
		}
		if m.slots < fewest {
			smallest, fewest = m, m.slots
		}
	}
	return smallest
}

func (c *checker) organisations() {
	classes := c.document.Classes()
	for _, o := range c.document.Organisations() {
		header := "organisation " + o.name
		if c.invalidSections[header] {
			continue
		}
		for _, name := range o.classes {
			c.requireSection(header, "classes", "class", name)
		}
		c.keys(c.withDefaultClass(o, classes))
	}
}

// withDefaultClass returns the organisation with its default class set. An
// organisation that another document shares, with another default class, is copied
// first, since a Document must not change.
func (c *checker) withDefaultClass(o *Organisation, classes []*Class) *Organisation {
	name := c.defaultClass(o, classes)
	if name == o.defaultClass {
		return o
	}
	if o.defaultClass != "" {
		copied := *o
		o = &copied
		c.document.organisations[o.name] = o
	}
	o.defaultClass = name
	return o
}

// defaultClass returns the class of the organisation's requests without a class.
func (c *checker) defaultClass(o *Organisation, classes []*Class) string {
	header := "organisation " + o.name
	switch {
	case len(classes) == 0:
		c.report(header, "", "the document has no class", "at least one section [class name]")
		return ""
	case o.configuredClass != "":
		c.requireSection(header, "class", "class", o.configuredClass)
		if !matchesList(o.classes, o.configuredClass) {
			c.report(header, "class", "the organisation may not use the class "+o.configuredClass, "one of its classes")
		}
		return o.configuredClass
	case len(o.classes) > 0:
		return o.classes[0]
	default:
		return classes[0].name
	}
}

func (c *checker) keys(o *Organisation) {
	for _, hash := range o.keyHashes {
		if first, ok := c.document.byKeyHash[hash]; ok {
			c.report("organisation "+o.name, "keys", "the organisation "+first.name+" has the same key", "a key of one organisation")
			continue
		}
		c.document.byKeyHash[hash] = o
	}
}

func (c *checker) services() {
	for _, s := range c.document.Services() {
		if c.invalidSections["service "+s.name] {
			continue
		}
		seen := map[string]bool{}
		for _, r := range s.replicas {
			if seen[r.address] {
				c.report("service "+s.name, "replicas", r.address+" stands twice", "each address once")
			}
			seen[r.address] = true
		}
	}
}

func (c *checker) rules() {
	last := ""
	for _, r := range c.document.rules {
		header := "rule " + r.name
		if c.invalidSections[header] {
			continue
		}
		for _, name := range r.organisations {
			c.requireSection(header, "organisations", "organisation", name)
		}
		for _, name := range r.models {
			c.requireSection(header, "models", "model", name)
		}
		if last != "" {
			c.report(header, "", "the rule is never reached, since rule "+last+" matches everything", "a rule above it")
		}
		if last == "" && len(r.organisations) == 0 && len(r.models) == 0 {
			last = r.name
		}
	}
}

func (c *checker) teams() {
	byKey := map[string]string{}
	for _, t := range c.document.Teams() {
		if c.invalidSections["team "+t.name] {
			continue
		}
		if first, ok := byKey[t.keyHash]; ok {
			c.report("team "+t.name, "key", "the team "+first+" has the same key", "a key of one team")
		}
		byKey[t.keyHash] = t.name
		for _, p := range t.sections {
			c.document.owners.add(t.name, p)
		}
	}
}

func (c *checker) owners() {
	for _, s := range c.document.order {
		teams := c.document.owners.teamsOf(s.Header())
		if len(teams) > 1 {
			message := fmt.Sprintf("the teams %s and %s both own the section", teams[0], teams[1])
			c.report(s.Header(), "", message, "one team")
		}
	}
}

// requireSection reports a name for which there is no section of the kind.
func (c *checker) requireSection(header, key, kind, name string) {
	if _, ok := c.document.sections[kind+" "+name]; !ok {
		c.report(header, key, "there is no section ["+kind+" "+name+"]", "")
	}
}
