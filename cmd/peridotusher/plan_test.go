package main

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
)

func TestPrintPlans(t *testing.T) {
	f, err := os.Open("testdata/engines.json")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	engines, err := readEngines(f)
	if err != nil {
		t.Fatal(err)
	}
	doc, problems := document.Parse("kalimera.ini", examples.Kalimera)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	var out strings.Builder
	printPlans(&out, doc, engines, "")
	want := `zone a
  load stylist v2 on engine-a3: too few engines hold the version
  hold stylist v0 on engine-a3: running work still needs the version (1 running)
zone b
  nothing to do
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("plans (-want +got):\n%s", diff)
	}
}

func TestWithVersions(t *testing.T) {
	tests := []struct{ section, want string }{
		{"[model m]\nversions = v1:100\nslots = 8\n", "[model m]\nversions = v2:100\nprevious = v1:100\nslots = 8\n"},
		{"[model m]\nprevious = v0:100\nversions=v1:100\n", "[model m]\nversions = v2:100\nprevious = v1:100\n"},
		{"[model m]\nslots = 8", "[model m]\nslots = 8\nversions = v2:100\nprevious = v1:100\n"},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, withVersions(test.section, "v2:100", "v1:100")); diff != "" {
			t.Errorf("%q (-want +got):\n%s", test.section, diff)
		}
	}
}
