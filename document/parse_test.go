package document

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/ini"
)

var update = flag.Bool("update", false, "write the expected problems")

// TestParseBadFiles compares the problems of each testdata/NAME.ini with NAME.problems.
func TestParseBadFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no bad files: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			doc, problems := Parse(filepath.Base(path), read(t, path))
			if doc != nil || len(problems) == 0 {
				t.Fatalf("Parse returned document %v and %d problems", doc, len(problems))
			}
			wantPath := strings.TrimSuffix(path, ".ini") + ".problems"
			got := lines(problems)
			if *update {
				if err := os.WriteFile(wantPath, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(read(t, wantPath)), got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

func TestParseExamples(t *testing.T) {
	for _, name := range []string{"kalimera", "malabar"} {
		doc := parseExample(t, name)
		got := []int{len(doc.Organisations()), len(doc.Classes()), len(doc.Models()), len(doc.Services()), len(doc.Services()[0].Replicas())}
		if diff := cmp.Diff([]int{10, 3, 1, 1, 3}, got); diff != "" {
			t.Errorf("%s: organisations, classes, models, services, replicas (-want +got):\n%s", name, diff)
		}
		org, ok := doc.OrganisationByKey(name + "-" + doc.Organisations()[0].Name() + "-example-key")
		if !ok || org != doc.Organisations()[0] {
			t.Errorf("%s: OrganisationByKey for the example key of %s returned %v, %v", name, doc.Organisations()[0].Name(), org, ok)
		}
	}
}

func TestParseValues(t *testing.T) {
	doc := parseExample(t, "kalimera")
	policy := Policy{
		bound: 1.25, permitExpiry: 30e9, ownerTimeout: 100e6, queueLength: 64, placementRecords: 100000,
		retryBudget: 0.1, hedgePercentile: 0.95, idleTimeout: 5e9, claimWindow: 3600e9, outcomeLimit: 16384,
		rollout: Rollout{
			loads: 2, soak: 10e9, errors: 0.02, slower: 1.5, lease: 10e9, flight: 5e9, stale: 10e9,
			warmup: 30e9, exports: 50, prefill: 20e3, copyTime: 5e3, eject: 0.2,
		},
		placement: PlacementBounded, patience: 200e6,
	}
	if diff := cmp.Diff(policy, doc.Policy(), cmp.AllowUnexported(Policy{}, Rollout{})); diff != "" {
		t.Errorf("policy (-want +got):\n%s", diff)
	}
	chat, _ := doc.Class("chat")
	want := &Class{name: "chat", deadline: 30e9, firstToken: 500e6, work: 1, maxTokens: 1024, objective: 0.99, chats: true}
	if diff := cmp.Diff(want, chat, cmp.AllowUnexported(Class{})); diff != "" {
		t.Errorf("class (-want +got):\n%s", diff)
	}
	profiles, _ := doc.Service("profiles")
	calls := []bool{
		profiles.Idempotent("GET", "/profiles/7"),
		profiles.Idempotent("GET", "/health"),
		profiles.Idempotent("GET", "/healthy"),
		profiles.Idempotent("POST", "/profiles/7"),
	}
	if diff := cmp.Diff([]bool{true, true, false, false}, calls); diff != "" {
		t.Errorf("idempotent (-want +got):\n%s", diff)
	}
}

func TestParseDefaults(t *testing.T) {
	text := "[class slow]\npriority = 2\ndeadline = 1m\n[class fast]\npriority = 0\ndeadline = 1s\n" +
		"[organisation one]\nkeys = " + HashKey("one") + "\n" +
		"[organisation two]\nclasses = slow\nkeys = " + HashKey("two") + "\n"
	doc, problems := Parse("defaults.ini", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("problems:\n%s", lines(problems))
	}
	one, _ := doc.Organisation("one")
	two, _ := doc.Organisation("two")
	if diff := cmp.Diff([]string{"fast", "slow"}, []string{one.DefaultClass(), two.DefaultClass()}); diff != "" {
		t.Errorf("default classes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1.25, doc.Policy().Bound()); diff != "" {
		t.Errorf("bound (-want +got):\n%s", diff)
	}
}

func TestOwnerOf(t *testing.T) {
	doc := parseExample(t, "malabar")
	for _, tc := range []struct{ header, want string }{
		{"policy", "platform"},
		{"class chat", "platform"},
		{"organisation kochi-desk", "kochi"},
		{"organisation thrissur-new", "thrissur"},
		{"organisation auditors", "platform"},
		{"organisation unknown", ""},
	} {
		got, ok := doc.OwnerOf(tc.header)
		if got != tc.want || ok != (tc.want != "") {
			t.Errorf("OwnerOf(%q) = %q, %v; want %q", tc.header, got, ok, tc.want)
		}
	}
}

func TestSectionTexts(t *testing.T) {
	text := "# whole\n\n[class a]\ndeadline = 1s\n\n# about b\n[class b]\ndeadline = 2s\n"
	doc, problems := Parse("sections.ini", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("problems:\n%s", lines(problems))
	}
	if diff := cmp.Diff([]string{"class a", "class b"}, doc.Sections()); diff != "" {
		t.Errorf("sections (-want +got):\n%s", diff)
	}
	got, _ := doc.Section("class b")
	if diff := cmp.Diff("# about b\n[class b]\ndeadline = 2s\n", got); diff != "" {
		t.Errorf("section text (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(text, joinSections(doc)); diff != "" {
		t.Errorf("joined sections (-want +got):\n%s", diff)
	}
}

func parseExample(t *testing.T, name string) *Document {
	t.Helper()
	path := "../examples/" + name + ".ini"
	doc, problems := Parse(path, read(t, path))
	if len(problems) > 0 {
		t.Fatalf("problems:\n%s", lines(problems))
	}
	return doc
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func lines(problems []ini.Problem) string {
	var b strings.Builder
	for _, p := range problems {
		b.WriteString(p.String() + "\n")
	}
	return b.String()
}

func joinSections(d *Document) string {
	var b strings.Builder
	for _, header := range d.Sections() {
		text, _ := d.Section(header)
		b.WriteString(text)
	}
	return b.String()
}
