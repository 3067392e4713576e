package config

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

const (
	testPrefix  = "test/"
	operatorKey = "operator-key"
)

var (
	red  = Credentials{Team: "red", Key: "red-key"}
	blue = Credentials{Team: "blue", Key: "blue-key"}
)

// testText returns a document with two teams and a number of organisations for each.
func testText(organisations int) []byte {
	var b strings.Builder
	b.WriteString("[class chat]\ndeadline = 1s\n\n[model m]\nslots = 8\n\n")
	for n := range organisations {
		b.WriteString(organisation("red", n, 1) + organisation("blue", n, 1))
	}
	fmt.Fprintf(&b, "[team red]\nkey = %s\nsections = organisation red-*\n\n", document.HashKey(red.Key))
	fmt.Fprintf(&b, "[team blue]\nkey = %s\nsections = organisation blue-*, model *\n\n", document.HashKey(blue.Key))
	return []byte(b.String())
}

// organisation returns the text of the section of a team's nth organisation.
func organisation(team string, n, weight int) string {
	name := fmt.Sprintf("%s-%d", team, n)
	return fmt.Sprintf("[organisation %s]\nweight = %d\nkeys = %s\n\n", name, weight, document.HashKey(name))
}

// startStore runs a stand-in store until the end of the test. The function that
// it returns makes a client of the store.
func startStore(t testing.TB) (*standin.Store, func() *store.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standin.Store{Listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return s, func() *store.Client {
		c, closeClient, err := store.New(store.Config{Addresses: []string{l.Addr().String()}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeClient)
		return c
	}
}

func newEditor(c *store.Client) *Editor {
	return &Editor{Store: c, Prefix: testPrefix, Clock: peridotusher.ClockFunc(time.Now)}
}

// startEditor returns an editor on a store that holds the document of testText.
func startEditor(t testing.TB, organisations int) (*standin.Store, *Editor, func() *store.Client) {
	t.Helper()
	s, client := startStore(t)
	e := newEditor(client())
	if _, err := e.Replace(context.Background(), operatorKey, testText(organisations), 0); err != nil {
		t.Fatal(err)
	}
	return s, e, client
}

func TestReplaceKeepsTheTextAndOrder(t *testing.T) {
	_, e, _ := startEditor(t, 3)
	snap, err := e.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(testText(3)), snap.Document().Text()); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
	if _, err := e.Replace(context.Background(), "other key", testText(1), 0); err == nil {
		t.Error("Replace accepted a wrong key")
	}
	done, err := e.Replace(context.Background(), operatorKey, testText(2), 40)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"organisation blue-2", "organisation red-2"}
	if diff := cmp.Diff(want, done.Headers); diff != "" || done.Revision != 41 {
		t.Errorf("revision %d, changed sections (-want +got):\n%s", done.Revision, diff)
	}
}

func TestApplyChecksTheTeam(t *testing.T) {
	_, e, _ := startEditor(t, 1)
	tests := []struct {
		name  string
		creds Credentials
		edit  Edit
		want  string
	}{
		{"wrong key", Credentials{"red", "blue-key"}, Edit{Header: "organisation red-0"}, "not that of team"},
		{"no such team", Credentials{"green", "k"}, Edit{Header: "organisation red-0"}, "not that of team"},
		{"no operator", Credentials{"", "red-key"}, Edit{Header: "organisation red-0"}, "not that of team"},
		{"other team's", red, Edit{Header: "organisation blue-0", Base: 1}, `team "blue" owns`},
		{"nobody's", red, Edit{Header: "class chat", Base: 1}, "no team owns"},
		{"invalid", red, Edit{Header: "organisation red-0", Base: 1, Text: "[organisation red-0]\nweight = x\n"}, "weight"},
		{"two sections", red, Edit{Header: "organisation red-0", Base: 1, Text: organisation("red", 0, 2) + "[class b]\ndeadline = 1s\n"}, "not that of the one section"},
		{"in use", Credentials{"", operatorKey}, Edit{Header: "class chat", Base: 1}, "no class"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			done, err := e.Apply(context.Background(), test.creds, []Edit{test.edit})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("accepted %+v, error %v, want one with %q", done, err, test.want)
			}
		})
	}
}

func TestApplyShowsBothVersionsOfAConflict(t *testing.T) {
	_, e, client := startEditor(t, 1)
	ctx := context.Background()
	first := organisation("red", 0, 2)
	if _, err := newEditor(client()).Apply(ctx, red, []Edit{{Header: "organisation red-0", Base: 1, Text: first}}); err != nil {
		t.Fatal(err)
	}
	second := organisation("red", 0, 3)
	_, err := e.Apply(ctx, red, []Edit{{Header: "organisation red-0", Base: 1, Text: second}})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("error %v, want a conflict", err)
	}
	want := []Conflict{{Header: "organisation red-0", Base: 1, Yours: second, Theirs: first, Actual: 2, Team: "red"}}
	if diff := cmp.Diff(want, conflict.Conflicts()); diff != "" {
		t.Errorf("conflicts (-want +got):\n%s", diff)
	}
}

func TestApplyPlacesNewSections(t *testing.T) {
	_, e, _ := startEditor(t, 2)
	edits := []Edit{
		{Header: "organisation red-7", Text: organisation("red", 7, 1), After: "organisation red-0"},
		{Header: "organisation red-8", Text: organisation("red", 8, 1)},
		{Header: "organisation red-1", Base: 1},
	}
	if _, err := e.Apply(context.Background(), red, edits); err != nil {
		t.Fatal(err)
	}
	snap, err := e.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"class chat", "model m", "organisation red-0", "organisation red-7", "organisation blue-0",
		"organisation blue-1", "team red", "team blue", "organisation red-8",
	}
	if diff := cmp.Diff(want, snap.Document().Sections()); diff != "" {
		t.Errorf("sections (-want +got):\n%s", diff)
	}
}

// The store's answer to each accepted edit is lost. Apply must find the edit in
// the change log and not make it twice.
func TestLostAnswersAreResolved(t *testing.T) {
	s, e, _ := startEditor(t, 1)
	for n := range 3 {
		s.LoseAnswers(1)
		text := organisation("red", 0, n+2)
		done, err := e.Apply(context.Background(), red, []Edit{{Header: "organisation red-0", Base: uint64(n + 1), Text: text}})
		if err != nil {
			t.Fatal(err)
		}
		if done.Revision != uint64(n+2) {
			t.Errorf("edit %d was accepted at revision %d", n, done.Revision)
		}
	}
	log, err := e.Log(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var got []uint64
	for _, entry := range log {
		got = append(got, entry.Revision)
	}
	if diff := cmp.Diff([]uint64{4, 3, 2, 1}, got); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}
