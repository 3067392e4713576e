package document

import (
	"fmt"
	"math"

	"peridotusher.example/peridotusher/ini"
)

// check finds the problems between sections and fills the document's indexes.
type check struct {
	document *Document
	// broken holds the sections with problems of their own. They aren't
	// checked, since their values are incomplete.
	broken   map[string]bool
	problems []ini.Problem
}

func newCheck(d *Document, problems []ini.Problem) *check {
	c := &check{document: d, broken: map[string]bool{}}
	for _, p := range problems {
		c.broken[p.Section()] = true
	}
	return c
}

func (c *check) run() []ini.Problem {
	c.classes()
	c.organisations()
	c.services()
	c.rules()
	c.teams()
	c.owners()
	return c.problems
}

func (c *check) report(header, key, message, allowed string) {
	c.problems = append(c.problems, c.document.sections[header].Problem(key, message, allowed))
}

func (c *check) classes() {
	smallest := c.smallestModel()
	for _, class := range c.document.Classes() {
		header := "class " + class.name
		if c.broken[header] {
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
func (c *check) smallestModel() *Model {
	var smallest *Model
	fewest := math.MaxInt
	for _, m := range c.document.Models() {
		if c.broken["model "+m.name] {
			continue
		}
		if m.slots < fewest {
			smallest, fewest = m, m.slots
		}
	}
	return smallest
}

func (c *check) organisations() {
	classes := c.document.Classes()
	for _, o := range c.document.Organisations() {
		header := "organisation " + o.name
		if c.broken[header] {
			continue
		}
		for _, name := range o.classes {
			c.exists(header, "classes", "class", name)
		}
		c.keys(c.withDefaultClass(o, classes))
	}
}

// withDefaultClass returns the organisation with its default class. One that
// an earlier document holds with another class is copied.
func (c *check) withDefaultClass(o *Organisation, classes []*Class) *Organisation {
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

// defaultClass returns the class of the organisation's requests that name none.
func (c *check) defaultClass(o *Organisation, classes []*Class) string {
	header := "organisation " + o.name
	switch {
	case len(classes) == 0:
		c.report(header, "", "the document has no class", "at least one section [class name]")
		return ""
	case o.ownClass != "":
		c.exists(header, "class", "class", o.ownClass)
		if !listed(o.classes, o.ownClass) {
			c.report(header, "class", "the organisation may not use the class "+o.ownClass, "one of its classes")
		}
		return o.ownClass
	case len(o.classes) > 0:
		return o.classes[0]
	default:
		return classes[0].name
	}
}

func (c *check) keys(o *Organisation) {
	for _, hash := range o.keyHashes {
		if first, ok := c.document.byKeyHash[hash]; ok {
			c.report("organisation "+o.name, "keys", "the organisation "+first.name+" has the same key", "a key of one organisation")
			continue
		}
		c.document.byKeyHash[hash] = o
	}
}

func (c *check) services() {
	for _, s := range c.document.Services() {
		if c.broken["service "+s.name] {
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

func (c *check) rules() {
	last := ""
	for _, r := range c.document.rules {
		header := "rule " + r.name
		if c.broken[header] {
			continue
		}
		for _, name := range r.organisations {
			c.exists(header, "organisations", "organisation", name)
		}
		for _, name := range r.models {
			c.exists(header, "models", "model", name)
		}
		if last != "" {
			c.report(header, "", "the rule is never reached, since rule "+last+" matches everything", "a rule above it")
		}
		if last == "" && len(r.organisations) == 0 && len(r.models) == 0 {
			last = r.name
		}
	}
}

func (c *check) teams() {
	byKey := map[string]string{}
	for _, t := range c.document.Teams() {
		if c.broken["team "+t.name] {
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

func (c *check) owners() {
	for _, s := range c.document.order {
		teams := c.document.owners.of(s.Header())
		if len(teams) > 1 {
			message := fmt.Sprintf("the teams %s and %s both own the section", teams[0], teams[1])
			c.report(s.Header(), "", message, "one team")
		}
	}
}

// exists reports a name that no section of the kind has.
func (c *check) exists(header, key, kind, name string) {
	if _, ok := c.document.sections[kind+" "+name]; !ok {
		c.report(header, key, "there is no section ["+kind+" "+name+"]", "")
	}
}
