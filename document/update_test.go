package document

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestUpdateEqualsParse changes, removes and adds sections with Update, and
// compares the result with Parse of the complete text.
func TestUpdateEqualsParse(t *testing.T) {
	old := exampleWithoutClass(t)
	organisation := "[organisation new]\nkeys = " + HashKey("new-key") + "\n\n"
	tests := []struct {
		name    string
		changed map[string]string
		removed string
	}{
		{name: "unchanged"},
		{name: "changed", changed: map[string]string{"policy": "[policy]\nbound = 2\n\n"}},
		{name: "added", changed: map[string]string{"organisation new": organisation}},
		{name: "removed", removed: old.Organisations()[0].Name()},
		{name: "default class", changed: map[string]string{"class aa": "[class aa]\npriority = 0\ndeadline = 1s\n"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			order, text := applyChanges(old, test.changed, "organisation "+test.removed)
			want, problems := Parse("whole", []byte(text))
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			got, problems := old.Update(order, test.changed)
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			if diff := cmp.Diff(describe(want), describe(got)); diff != "" {
				t.Errorf("document (-parsed +updated):\n%s", diff)
			}
		})
	}
}

func TestUpdateLeavesOldDocumentUnchanged(t *testing.T) {
	old := exampleWithoutClass(t)
	before := describe(old)
	changed := map[string]string{"class aa": "[class aa]\npriority = 0\ndeadline = 1s\n"}
	order, _ := applyChanges(old, changed, "")
	if _, problems := old.Update(order, changed); len(problems) > 0 {
		t.Fatal(problems)
	}
	if diff := cmp.Diff(before, describe(old)); diff != "" {
		t.Errorf("old document (-before +after):\n%s", diff)
	}
}

func TestUpdateRefusesInvalidSections(t *testing.T) {
	old := exampleWithoutClass(t)
	tests := []struct {
		name    string
		changed map[string]string
		removed string
		want    string
	}{
		{"value", map[string]string{"policy": "[policy]\nbound = no\n"}, "", "bound"},
		{"other header", map[string]string{"policy": "[class chat]\n"}, "", "not that of the one section"},
		{"two sections", map[string]string{"policy": "[policy]\n[class x]\ndeadline = 1s\n"}, "", "not that of the one section"},
		{"reference", nil, "class chat", "there is no section [class chat]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			order, _ := applyChanges(old, test.changed, test.removed)
			doc, problems := old.Update(order, test.changed)
			if doc != nil || !strings.Contains(fmt.Sprint(problems), test.want) {
				t.Errorf("document %v, problems %v; want a problem with %q", doc != nil, problems, test.want)
			}
		})
	}
}

// exampleWithoutClass returns the example document and an organisation without a class.
func exampleWithoutClass(t *testing.T) *Document {
	t.Helper()
	text := parseExample(t, "kalimera").Text() + "\n[organisation plain]\nkeys = " + HashKey("plain-key") + "\n"
	doc, problems := Parse("example", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return doc
}

// BenchmarkFullSize measures Parse of a document of 8,300 organisations, and
// Update of one of its sections.
func BenchmarkFullSize(b *testing.B) {
	var text strings.Builder
	text.WriteString("[class chat]\ndeadline = 1s\n\n")
	for n := range 8300 {
		fmt.Fprintf(&text, "[organisation many-%d]\nkeys = %s\n\n", n, HashKey(fmt.Sprint("key-", n)))
	}
	doc, problems := Parse("full", []byte(text.String()))
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	order := doc.Sections()
	changed := map[string]string{"organisation many-7": "[organisation many-7]\nkeys = " + HashKey("new") + "\n\n"}
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			Parse("full", []byte(text.String()))
		}
	})
	b.Run("section", func(b *testing.B) {
		for b.Loop() {
			doc.Update(order, changed)
		}
	})
}

// applyChanges returns the order of the sections and the text of the document after the changes.
func applyChanges(d *Document, changed map[string]string, removed string) ([]string, string) {
	var order []string
	var text strings.Builder
	for _, header := range d.Sections() {
		if header == removed {
			continue
		}
		order = append(order, header)
		section, _ := d.Section(header)
		if replaced, ok := changed[header]; ok {
			section = replaced
		}
		text.WriteString(section)
	}
	for header, section := range changed {
		if _, ok := d.Section(header); !ok {
			order = append(order, header)
			text.WriteString(section)
		}
	}
	return order, text.String()
}

// describe returns the contents of a document in a form that cmp.Diff can compare.
func describe(d *Document) []string {
	lines := append(d.Sections(), d.Text(), fmt.Sprintf("%+v", d.Policy()))
	for _, o := range d.Organisations() {
		found := d.byKeyHash[o.keyHashes[0]]
		lines = append(lines, fmt.Sprintf("%+v %t", *o, found == o))
	}
	for _, c := range d.Classes() {
		lines = append(lines, fmt.Sprintf("%+v", *c))
	}
	for _, r := range d.Rules() {
		lines = append(lines, fmt.Sprintf("%+v", *r))
	}
	for _, header := range d.Sections() {
		owner, ok := d.OwnerOf(header)
		lines = append(lines, fmt.Sprint(header, owner, ok))
	}
	return lines
}
