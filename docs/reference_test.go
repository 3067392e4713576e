// Package docs_test checks that the pages match the program.
package docs_test

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/settings"
)

var update = flag.Bool("update", false, "write the references into the guide")

const guide = "operators/guide.md"

// withReference returns the page with the text between a marker and its end replaced.
func withReference(t *testing.T, page, marker, text string) string {
	t.Helper()
	before, rest, ok := strings.Cut(page, "<!-- "+marker+" -->\n")
	_, after, closed := strings.Cut(rest, "<!-- end -->")
	if !ok || !closed {
		t.Fatalf("%s has no place for the %s", guide, marker)
	}
	return before + "<!-- " + marker + " -->\n" + text + "<!-- end -->" + after
}

// TestGuideHoldsTheReferences fails when a key was added and the guide was not
// written anew: go test ./docs -update.
func TestGuideHoldsTheReferences(t *testing.T) {
	text, err := os.ReadFile(guide)
	if err != nil {
		t.Fatal(err)
	}
	want := withReference(t, string(text), "settings reference", settings.Reference())
	want = withReference(t, want, "configuration reference", document.Reference())
	if *update {
		if err := os.WriteFile(guide, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, string(text)); diff != "" {
		t.Errorf("the guide is out of date; run go test ./docs -update (-want +got):\n%s", diff)
	}
}

var link = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// TestLinksLeadSomewhere follows the links between pages.
func TestLinksLeadSomewhere(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range []string{"../README.md", "operators/*.md", "design/*.md"} {
		more, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, more...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: link to %s leads nowhere", page, match[1])
			}
		}
	}
}
