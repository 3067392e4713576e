package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/standin"
)

const teamKey = "malabar-kochi-example-team-key"

// configFixture is a store with a document, for the commands of a test.
type configFixture struct {
	t       *testing.T
	address string
	dir     string
}

func startConfigFixture(t *testing.T) *configFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return (&standin.Store{Listener: l}).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	b := &configFixture{t: t, address: l.Addr().String(), dir: t.TempDir()}
	document := b.write("document.ini", string(examples.Malabar))
	b.expect(0, "accepted at revision 1", "--key", "operators", "apply", "--all", document)
	return b
}

func (b *configFixture) write(name, text string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run runs a config command and returns its exit code and its output, standard error included.
func (b *configFixture) run(args ...string) (int, string) {
	b.t.Helper()
	out, err := os.Create(filepath.Join(b.dir, "out"))
	if err != nil {
		b.t.Fatal(err)
	}
	defer out.Close()
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = out, out
	code := run(context.Background(), append([]string{"peridotusher", "config", "--store", b.address}, args...))
	os.Stdout, os.Stderr = stdout, stderr
	text, err := os.ReadFile(out.Name())
	if err != nil {
		b.t.Fatal(err)
	}
	return code, string(text)
}

// expect runs a config command, checks its exit code and that the output contains part, and
// returns the output.
func (b *configFixture) expect(code int, part string, args ...string) string {
	b.t.Helper()
	got, text := b.run(args...)
	if got != code || !strings.Contains(text, part) {
		b.t.Errorf("%v: exit code %d, want %d; output without %q:\n%s", args, got, code, part, text)
	}
	return text
}

func TestConfigEditsOfATeam(t *testing.T) {
	b := startConfigFixture(t)
	team := []string{"--team", "kochi", "--key", teamKey}
	as := func(args ...string) []string { return append(append([]string{}, team...), args...) }
	mine := b.expect(0, "[organisation kochi-desk]", as("get")...)
	if strings.Contains(mine, "kozhikode") {
		t.Errorf("get printed another team's section:\n%s", mine)
	}
	changed := b.write("mine.ini", strings.Replace(mine, "weight = 100", "weight = 90", 1))
	b.expect(0, "+weight = 90", as("diff", changed)...)
	b.expect(0, "ok", as("check", changed)...)
	b.expect(0, "accepted at revision 2: organisation kochi-members", as("apply", changed)...)
	b.expect(0, "nothing to change", as("apply", changed)...)
	stale := b.write("stale.ini", strings.Replace(mine, "weight = 100", "weight = 80", 1))
	text := b.expect(3, "conflict in [organisation kochi-members]", as("apply", stale)...)
	for _, part := range []string{"weight = 80", "weight = 90", "version 2"} {
		if !strings.Contains(text, part) {
			t.Errorf("the conflict does not show %q:\n%s", part, text)
		}
	}
	b.expect(0, "2 ", "log")
	b.expect(0, `"owner": "kochi"`, "--json", "get", "organisation kochi-members")
}

func TestConfigExitCodes(t *testing.T) {
	b := startConfigFixture(t)
	bad := b.write("bad.ini", "[organisation kochi-desk]\nweight = heavy\n")
	other := b.write("other.ini", "[class chat]\ndeadline = 1s\n")
	tests := []struct {
		name string
		args []string
		code int
		part string
	}{
		{"invalid", []string{"--team", "kochi", "--key", teamKey, "edit", "organisation kochi-desk", bad}, 2, "heavy"},
		{"invalid check", []string{"--team", "kochi", "--key", teamKey, "check", bad}, 2, "heavy"},
		{"other section", []string{"--team", "kochi", "--key", teamKey, "edit", "class chat", other}, 1, `team "platform" owns`},
		{"wrong key", []string{"--team", "kochi", "--key", "x", "edit", "organisation kochi-desk", bad}, 1, "not that of team"},
		{"base", []string{"--key", "operators", "edit", "--base", "7", "class chat", other}, 3, "conflict in [class chat]"},
		{"no file", []string{"apply"}, 2, "takes one file"},
		{"no section", []string{"get", "class none"}, 2, "not in the document"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { b.expect(test.code, test.part, test.args...) })
	}
	if diff := cmp.Diff(1, strings.Count(b.expect(0, "", "log"), "\n")); diff != "" {
		t.Errorf("accepted edits (-want +got):\n%s", diff)
	}
}
