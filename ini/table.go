package ini

import (
	"sort"
	"strings"
)

// Kind defines how the sections of one kind are decoded.
type Kind struct {
	// Named is set if the header must have a name after the kind.
	Named bool
	// Decode decodes one section and returns its problems.
	Decode func(s *Section) []Problem
}

// Decode decodes every section with the function of its kind and reports unknown sections.
func (f *File) Decode(kinds map[string]Kind) []Problem {
	var problems []Problem
	for _, s := range f.sections {
		k, ok := kinds[s.Kind()]
		switch {
		case !ok:
			problems = append(problems, s.Problem("", "the section is unknown", kindNames(kinds)))
		case k.Named && s.Name() == "":
			problems = append(problems, s.Problem("", "the section has no name", "["+s.Kind()+" name]"))
		case !k.Named && s.Name() != "":
			problems = append(problems, s.Problem("", "the section takes no name", "["+s.Kind()+"]"))
		default:
			problems = append(problems, k.Decode(s)...)
		}
	}
	return problems
}

func kindNames(kinds map[string]Kind) string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Field describes one key of a section kind that is decoded into a T.
type Field[T any] struct {
	// Name is the key's name.
	Name string
	// Default is the value of an absent key. If it is empty, an absent key leaves the T unchanged.
	Default string
	// Required is set if the key must be present.
	Required bool
	// Secret is set if problem messages must not contain the value.
	Secret bool
	// Text describes the key, with its unit, in the operators' guide.
	Text string
	// Value parses the key's value and stores it in the T.
	Value Value[T]
}

// Value parses a value and stores it in a T.
type Value[T any] struct {
	allowed string
	set     func(target *T, text string) error
}

// Allowed describes the allowed values.
func (v Value[T]) Allowed() string { return v.allowed }

// Of returns a Value that uses the parser and stores the result at the pointer that at returns.
func Of[T, V any](p Parser[V], at func(target *T) *V) Value[T] {
	set := func(target *T, text string) error {
		v, err := p.parse(text)
		if err != nil {
			return err
		}
		*at(target) = v
		return nil
	}
	return Value[T]{allowed: p.allowed, set: set}
}

// Fill sets the target from the section's keys and the defaults, and reports
// unknown keys, missing keys and values that are not valid.
func Fill[T any](s *Section, fields []Field[T], target *T) []Problem {
	problems := fillDefaults(s, fields, target)
	for _, k := range s.keys {
		i := indexOf(fields, k.name)
		if i < 0 {
			problems = append(problems, s.Problem(k.name, "the key is unknown", fieldNames(fields)))
			continue
		}
		if err := fields[i].Value.set(target, k.value); err != nil {
			problems = append(problems, s.Problem(k.name, fields[i].problemMessage(k.value, err), fields[i].Value.allowed))
		}
	}
	return problems
}

// problemMessage returns the message for a value that is not valid, without the value if it is a secret.
func (f Field[T]) problemMessage(value string, err error) string {
	if f.Secret {
		return "the value is not valid"
	}
	return quote(value) + " " + err.Error()
}

// Defaults sets the target from the defaults, as if the section were absent.
func Defaults[T any](fields []Field[T], target *T) {
	for _, field := range fields {
		if field.Default != "" {
			mustSet(field, target)
		}
	}
}

func fillDefaults[T any](s *Section, fields []Field[T], target *T) []Problem {
	var problems []Problem
	for _, field := range fields {
		switch {
		case s.hasKey(field.Name):
		case field.Required:
			problems = append(problems, s.Problem(field.Name, "the key is missing", field.Value.allowed))
		case field.Default != "":
			mustSet(field, target)
		}
	}
	return problems
}

func mustSet[T any](field Field[T], target *T) {
	if err := field.Value.set(target, field.Default); err != nil {
		panic("ini: the default of " + field.Name + " is not valid: " + err.Error())
	}
}

func (s *Section) hasKey(key string) bool {
	for _, k := range s.keys {
		if k.name == key {
			return true
		}
	}
	return false
}

func indexOf[T any](fields []Field[T], name string) int {
	for i := range fields {
		if fields[i].Name == name {
			return i
		}
	}
	return -1
}

func fieldNames[T any](fields []Field[T]) string {
	names := make([]string, len(fields))
	for i, field := range fields {
		names[i] = field.Name
	}
	return strings.Join(names, ", ")
}
