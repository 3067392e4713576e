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
	raceEdits = 200 // per team
	lostEvery = 10  // the answer to one in this many edits is lost
)

// TestConcurrentTeamEdits has two teams concurrently edit two sections each, over a slow
// link whose connections are reset now and then, while routers apply the edits.
func TestConcurrentTeamEdits(t *testing.T) {
	skipUnlessLong(t)
	b := startFleet(t, func(o *testbed.Options) { o.ExtraRouters = 2 })
	var edits []config.Edit
	for _, team := range []string{"red", "blue"} {
		header := "team " + team
		text := fmt.Sprintf("[%s]\nkey = %s\nsections = organisation %s-*\n", header, document.HashKey(team), team)
		edits = append(edits, config.Edit{Header: header, Text: text})
	}
	first := b.applyEdits(edits...).Revision
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
			b.waitInForce(raceKey(team, section, raceEdits-1), maxInForceTime, b.Routers...)
			b.checkUnknown(raceKey(team, section, raceEdits-2), b.Routers...)
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

// storeProxy returns a proxy to the store that delays bytes and resets connections.
func (b *fleet) storeProxy() *faultproxy.Proxy {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	p := &faultproxy.Proxy{Listener: l, Target: b.Store.Listener.Addr().String(), Seed: 1}
	p.Set(faultproxy.Fault{Jitter: 5 * time.Millisecond, ResetAfter: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.Run(ctx) })
	b.t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return p
}

// editAs repeatedly edits the two sections of a team.
func (b *fleet) editAs(ctx context.Context, team string, proxy *faultproxy.Proxy) error {
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
