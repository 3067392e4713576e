package fleettest

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/faultproxy"
	"peridotusher.example/peridotusher/store"
	"peridotusher.example/peridotusher/testbed"
)

const (
	raceEdits = 200 // of each team
	lostEvery = 10  // one answer in so many edits is lost
)

// TestRacingTeams lets two teams edit two sections each at once, through a
// slow link that is cut now and then, while routers follow.
func TestRacingTeams(t *testing.T) {
	needLong(t)
	b := startBench(t, func(o *testbed.Options) { o.ExtraRouters = 2 })
	var edits []config.Edit
	for _, team := range []string{"red", "blue"} {
		header := "team " + team
		text := fmt.Sprintf("[%s]\nkey = %s\nsections = organisation %s-*\n", header, document.HashKey(team), team)
		edits = append(edits, config.Edit{Header: header, Text: text})
	}
	first := b.apply(edits...).Revision
	proxy := b.storeProxy()
	group, ctx := errgroup.WithContext(context.Background())
	for _, team := range []string{"red", "blue"} {
		group.Go(func() error { return b.editAs(ctx, team, proxy) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, r := range b.Routers {
		b.waitMetric(r, "peridotusher_configuration_revision", float64(first+2*raceEdits))
	}
	for _, team := range []string{"red", "blue"} {
		for section := range 2 {
			b.inForce(raceKey(team, section, raceEdits-1), inForceLimit, b.Routers...)
			b.refuses(raceKey(team, section, raceEdits-2), b.Routers...)
		}
	}
	log, err := b.editor.Log(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i, entry := range log {
		if diff := cmp.Diff(log[0].Revision-uint64(i), entry.Revision); diff != "" {
			t.Fatalf("revision of log entry %d (-want +got):\n%s", i, diff)
		}
	}
}

// storeProxy returns a proxy to the store that delays and cuts.
func (b *bench) storeProxy() *faultproxy.Proxy {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	p := &faultproxy.Proxy{Listener: l, Target: b.Store.Listener.Addr().String(), Seed: 1}
	p.Set(faultproxy.Fault{Jitter: 5 * time.Millisecond, CutAfter: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.Run(ctx) })
	b.t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return p
}

// editAs edits the two sections of a team again and again.
func (b *bench) editAs(ctx context.Context, team string, proxy *faultproxy.Proxy) error {
	client, closeClient, err := store.New(store.Config{Addresses: []string{proxy.Address()}})
	if err != nil {
		return err
	}
	defer closeClient()
	e := &config.Editor{Store: client, Prefix: testbed.Prefix, Clock: peridotusher.ClockFunc(time.Now)}
	version := uint64(0)
	for n := range raceEdits {
		if n%lostEvery == 0 {
			b.Store.LoseAnswers(1)
		}
		var edits []config.Edit
		for section := range 2 {
			header := fmt.Sprintf("organisation %s-%d", team, section)
			text := fmt.Sprintf("[%s]\nkeys = %s\n", header, document.HashKey(raceKey(team, section, n)))
			edits = append(edits, config.Edit{Header: header, Text: text, Base: version})
		}
		done, err := e.Apply(ctx, config.Credentials{Team: team, Key: team}, edits)
		if err != nil {
			return fmt.Errorf("team %s, edit %d: %w", team, n, err)
		}
		version = done.Revision
	}
	return nil
}

func raceKey(team string, section, n int) string { return fmt.Sprintf("%s-%d-%d", team, section, n) }
