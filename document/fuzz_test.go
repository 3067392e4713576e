package document

import (
	"fmt"
	"strings"
	"testing"
)

// FuzzParse checks that Parse returns either a document, whose joined sections
// equal the text, or problems with line numbers that exist in the text.
func FuzzParse(f *testing.F) {
	f.Add("[class chat]\ndeadline = 1s\n")
	f.Add("[policy]\nbound = `1.25\n[team a]\nsections = *\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, problems := Parse("fuzz.ini", []byte(text))
		if (doc == nil) != (len(problems) > 0) {
			t.Fatalf("document %v with %d problems", doc, len(problems))
		}
		last := strings.Count(text, "\n") + 1
		for _, p := range problems {
			if p.Line() < 0 || p.Line() > last {
				t.Errorf("problem outside the %d lines: %s", last, p)
			}
		}
		if doc == nil || len(doc.Sections()) == 0 {
			return
		}
		if joinSections(doc) != text {
			t.Errorf("the joined sections are %q", joinSections(doc))
		}
		if _, again := Parse("again.ini", []byte(joinSections(doc))); len(again) > 0 {
			t.Errorf("parsing the joined sections again returned problems: %v", again)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{20, 800, 8300} {
		text := []byte(documentOfSize(n))
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, problems := Parse("sized.ini", text); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
		})
	}
}

// documentOfSize returns a valid document with n organisations.
func documentOfSize(n int) string {
	var b strings.Builder
	b.WriteString("[class chat]\ndeadline = 30s\n[team shops]\nkey = " + HashKey("team") + "\nsections = organisation shop-*\n")
	for i := range n {
		fmt.Fprintf(&b, "\n[organisation shop-%d]\nweight = %d\nworth = 1\nkeys = %s\n", i, i%100+1, HashKey(fmt.Sprint(i)))
		b.WriteString("rate = 100\nconcurrent = 50\nclasses = chat\nclass = chat\nobjective = 99%\n")
	}
	return b.String()
}

// TestParseLargest checks that a document of 8,300 organisations is over a megabyte and valid.
func TestParseLargest(t *testing.T) {
	const organisations = 8300
	text := documentOfSize(organisations)
	doc, problems := Parse("sized.ini", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("%d problems, first: %s", len(problems), problems[0])
	}
	if len(text) < 1<<20 || len(doc.Organisations()) != organisations {
		t.Errorf("%d bytes, %d organisations", len(text), len(doc.Organisations()))
	}
}
