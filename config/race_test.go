package config

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// Two teams edit 150 times each at once, while some of the store's answers are
// lost. No edit may be lost, made twice or visible in part: the revision rises by
// one for each edit, and the two sections that an edit changes stay equal.
func TestConcurrentEditsOfTwoTeams(t *testing.T) {
	const rounds = 150
	s, _, client := startEditor(t, 2)
	edit := func(ctx context.Context, creds Credentials) error {
		e := newEditor(client())
		versions := [2]uint64{1, 1}
		for n := range rounds {
			if n%10 == 0 {
				s.LoseAnswers(1)
			}
			edits := make([]Edit, len(versions))
			for i := range edits {
				name := fmt.Sprintf("organisation %s-%d", creds.Team, i)
				edits[i] = Edit{Header: name, Text: organisation(creds.Team, i, n+2), Base: versions[i]}
			}
			done, err := e.Apply(ctx, creds, edits)
			if err != nil {
				return fmt.Errorf("%s, round %d: %w", creds.Team, n, err)
			}
			versions = [2]uint64{done.Revision, done.Revision}
		}
		return nil
	}
	watch := newEditor(client())
	group, ctx := errgroup.WithContext(context.Background())
	editing, finished := context.WithCancel(ctx)
	group.Go(func() error {
		defer finished()
		both, ctx := errgroup.WithContext(ctx)
		both.Go(func() error { return edit(ctx, red) })
		both.Go(func() error { return edit(ctx, blue) })
		return both.Wait()
	})
	group.Go(func() error { return watchForPartialEdits(editing, watch) })
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	snap, err := watch.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(1+2*rounds), snap.Revision()); diff != "" {
		t.Errorf("revision, one for each edit (-want +got):\n%s", diff)
	}
	for _, o := range snap.Document().Organisations() {
		if diff := cmp.Diff(float64(rounds+1), o.Weight()); diff != "" {
			t.Errorf("weight of %s (-want +got):\n%s", o.Name(), diff)
		}
	}
}

// watchForPartialEdits reads the document until ctx ends and compares the two
// sections that each edit changes together.
func watchForPartialEdits(ctx context.Context, e *Editor) error {
	for ctx.Err() == nil {
		snap, err := e.Load(context.WithoutCancel(ctx))
		if err != nil {
			return err
		}
		for _, team := range []string{"red", "blue"} {
			first, _ := snap.Document().Organisation(team + "-0")
			second, _ := snap.Document().Organisation(team + "-1")
			if first.Weight() != second.Weight() {
				return fmt.Errorf("partial edit of %s at revision %d: weights %v and %v", team, snap.Revision(), first.Weight(), second.Weight())
			}
		}
	}
	return nil
}

// TestFullSizeDocument replaces and edits a document of 8,300 organisations,
// whose pages do not fit into one transaction.
func TestFullSizeDocument(t *testing.T) {
	s, e, client := startEditor(t, 4150)
	ctx := context.Background()
	done, err := e.Apply(ctx, red, []Edit{{Header: "organisation red-4149", Base: 1, Text: organisation("red", 4149, 9)}})
	if err != nil {
		t.Fatal(err)
	}
	entries, _, err := client().List(ctx, testPrefix)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, entry := range entries {
		total += len(entry.Value())
		if entry.Key() == testPrefix+headKey && len(entry.Value()) > 1<<10 {
			t.Errorf("the head has %d bytes", len(entry.Value()))
		}
	}
	if total < 1<<20 {
		t.Errorf("the document has only %d bytes", total)
	}
	before := s.Calls()
	replaced := strings.Replace(string(testText(4150)), "weight = 1\n", "weight = 2\n", -1)
	if _, err := e.Replace(ctx, operatorKey, []byte(replaced), 0); err != nil {
		t.Fatal(err)
	}
	snap, err := newEditor(client()).Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	o, _ := snap.Document().Organisation("red-4149")
	if diff := cmp.Diff([]float64{2, float64(done.Revision + 1)}, []float64{o.Weight(), float64(snap.Revision())}); diff != "" {
		t.Errorf("weight, revision (-want +got):\n%s", diff)
	}
	if s.Calls().Delete-before.Delete != pageCount {
		t.Errorf("%d pages of the old generation were deleted, want %d", s.Calls().Delete-before.Delete, pageCount)
	}
}
