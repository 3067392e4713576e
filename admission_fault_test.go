package peridotusher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// works returns the work of all engines by the router's count.
func (r *testRouter) works() map[EngineID]int {
	works := map[EngineID]int{}
	for _, e := range r.engines.All() {
		if w := r.owner.Ledger.Work(e.ID()); w != 0 {
			works[e.ID()] = w
		}
	}
	return works
}

// TestDisagreeingListsHaveOneOwner asks through a router that takes another for
// the owner: the one that is asked relays, so one ledger counts all permits.
func TestDisagreeingListsHaveOneOwner(t *testing.T) {
	n := newNetwork(t, 3, "a", "b", "c")
	n.setOwners("a", "b")
	n.routers["c"].setOwners("b", "a")
	n.acquire(t, "a", 1)
	p := n.acquire(t, "c", 2)
	total := 0
	for _, w := range n.routers["a"].works() {
		total += w
	}
	if diff := cmp.Diff(2, total); diff != "" {
		t.Errorf("work at the owner (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[EngineID]int{}, n.routers["b"].works()); diff != "" {
		t.Errorf("work at the router that relayed (-want +got):\n%s", diff)
	}
	p.Done(context.Background(), Ran, false)
	total = 0
	for _, w := range n.routers["a"].works() {
		total += w
	}
	if diff := cmp.Diff(1, total); diff != "" {
		t.Errorf("work after the return (-want +got):\n%s", diff)
	}
}

// TestTwoOwnersOvershoot cuts two routers that both believe to be the owner
// off from each other. Each engine carries at most one request beyond the limit.
func TestTwoOwnersOvershoot(t *testing.T) {
	n := newNetwork(t, 3, "a", "b")
	n.routers["a"].setOwners("a", "b")
	n.routers["b"].setOwners("b", "a")
	for k := range 3 {
		n.acquire(t, "a", k)
	}
	n.routers["b"].owner.Ledger.SetRemote(n.clock.Now(), n.routers["a"].owner.Ledger.Loads())
	n.unreachable["a"] = true
	for _, e := range n.routers["b"].engines.All() {
		n.routers["b"].owner.Ledger.Take(n.clock.Now(), e.ID())
	}
	for k := 3; k < 6; k++ {
		answer := n.routers["b"].owner.Ask(context.Background(), Ask{Request: n.chatRequest(k), Engine: engineName(k - 3), Final: false})
		if answer.Granted {
			t.Errorf("engine %d: the new owner granted beyond the former owner's count", k-3)
		}
	}
}

// TestOwnerCrash lets the deputy take over from an owner that crashed with
// permits out, learn them from their holder and take their return.
func TestOwnerCrash(t *testing.T) {
	n := newNetwork(t, 3, "a", "b", "c")
	n.setOwners("a", "b")
	p := n.acquire(t, "c", 1)
	n.unreachable["a"] = true
	q := n.acquire(t, "c", 2)
	n.setOwners("b", "c")
	n.routers["c"].ingress.Renew(context.Background())
	want := map[EngineID]int{p.Engine().ID(): 1}
	want[q.Engine().ID()]++
	if diff := cmp.Diff(want, n.routers["b"].works()); diff != "" {
		t.Errorf("work at the new owner (-want +got):\n%s", diff)
	}
	p.Done(context.Background(), Ran, false)
	q.Done(context.Background(), Ran, false)
	if diff := cmp.Diff(map[EngineID]int{}, n.routers["b"].works()); diff != "" {
		t.Errorf("work after the returns (-want +got):\n%s", diff)
	}
}

// TestPermitReturns returns a permit twice, late and never.
func TestPermitReturns(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		do   func(n *network, p *Permit)
		want int
	}{
		{"once", func(_ *network, p *Permit) { p.Done(ctx, Ran, false) }, 0},
		{"twice", func(n *network, p *Permit) {
			p.Done(ctx, Ran, false)
			p.Done(ctx, Ran, false)
			n.routers["a"].owner.Return(Return{Permit: p.ID(), Engine: p.Engine().ID()})
		}, 0},
		{"never, until the expiry", func(n *network, _ *Permit) {
			n.clock.advance(n.doc.Policy().PermitExpiry() - time.Second)
		}, 1},
		{"never, after the expiry", func(n *network, p *Permit) {
			n.clock.advance(n.doc.Policy().PermitExpiry() + time.Second)
			n.routers["a"].owner.Ledger.SetReported(n.clock.Now(), p.Engine().ID(), EngineReport{Sampled: n.clock.Now()})
		}, 0},
		{"never, but renewed", func(n *network, p *Permit) {
			n.clock.advance(n.doc.Policy().PermitExpiry() / 2)
			n.routers["b"].ingress.Renew(ctx)
			n.clock.advance(n.doc.Policy().PermitExpiry() * 3 / 4)
			n.routers["a"].owner.Ledger.SetReported(n.clock.Now(), p.Engine().ID(), EngineReport{Sampled: n.clock.Now()})
		}, 1},
		{"lost, then missing in a report", func(n *network, p *Permit) {
			n.dropReleases = true
			p.Done(ctx, Ran, false)
			n.clock.advance(unreportedPermitGrace + time.Second)
			n.routers["a"].owner.Report("b", nil)
		}, 0},
		{"before a report that names it", func(n *network, p *Permit) {
			held := n.routers["b"].ingress.Held()
			p.Done(ctx, Ran, false)
			n.routers["a"].owner.Report("b", held)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(t, 2, "a", "b")
			n.setOwners("a", "b")
			p := n.acquire(t, "b", 1)
			tt.do(n, p)
			if diff := cmp.Diff(tt.want, n.routers["a"].owner.Ledger.Work(p.Engine().ID())); diff != "" {
				t.Errorf("work (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLaggingReport reads reports that are 5 s old: work that the permits of
// that time explain is not counted twice, other work is.
func TestLaggingReport(t *testing.T) {
	tests := []struct {
		name     string
		reported int
		want     int
	}{
		{"own work that has ended", 1, 0},
		{"another's work", 3, 2},
		{"nothing", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(t, 2, "a")
			n.setOwners("a", "")
			p := n.acquire(t, "a", 1)
			sampled := n.clock.Now()
			n.clock.advance(time.Second)
			p.Done(context.Background(), Ran, false)
			n.clock.advance(4 * time.Second)
			ledger := n.routers["a"].owner.Ledger
			ledger.SetReported(n.clock.Now(), p.Engine().ID(), EngineReport{Work: tt.reported, Sampled: sampled})
			if diff := cmp.Diff(tt.want, ledger.Work(p.Engine().ID())); diff != "" {
				t.Errorf("work (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEveryEngineFull refuses at once, as not run and with a delay that grows
// with the queue, what cannot be answered in time.
func TestEveryEngineFull(t *testing.T) {
	n := newNetwork(t, 1, "a")
	n.setOwners("a", "")
	o := n.routers["a"].owner
	for k := range 8 {
		n.acquire(t, "a", k)
	}
	queued := o.Ask(context.Background(), Ask{Request: n.chatRequest(8), Engine: engineName(0), Ingress: "a", Final: true})
	if !queued.Queued {
		t.Fatalf("answer %+v, want it queued", queued)
	}
	o.Queue.RecordPermitTime(engineName(0), 60*time.Second)
	hasty := n.chatRequest(9)
	hasty.Deadline = n.clock.Now().Add(2 * time.Second)
	first := o.Ask(context.Background(), Ask{Request: hasty, Engine: engineName(0), Ingress: "a", Final: true})
	if first.Granted || first.Queued || first.RetryAfter < minRetryAfter {
		t.Errorf("answer %+v, want a refusal with a delay", first)
	}
	patient := n.chatRequest(10)
	o.Ask(context.Background(), Ask{Request: patient, Engine: engineName(0), Ingress: "a", Final: true})
	second := o.Ask(context.Background(), Ask{Request: hasty, Engine: engineName(0), Ingress: "a", Final: true})
	if second.RetryAfter <= first.RetryAfter {
		t.Errorf("delay %v after %v, want it to grow with the queue", second.RetryAfter, first.RetryAfter)
	}
}

// TestClockStep steps the clock back and forth: no permit is counted twice or
// lost while its holder renews it.
func TestClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		n := newNetwork(t, 2, "a", "b")
		n.setOwners("a", "b")
		p := n.acquire(t, "b", 1)
		n.clock.advance(step)
		n.routers["b"].ingress.Renew(context.Background())
		if diff := cmp.Diff(1, n.routers["a"].owner.Ledger.Work(p.Engine().ID())); diff != "" {
			t.Errorf("step %v: work (-want +got):\n%s", step, diff)
		}
		p.Done(context.Background(), Ran, false)
		if diff := cmp.Diff(map[EngineID]int{}, n.routers["a"].works()); diff != "" {
			t.Errorf("step %v: work after the return (-want +got):\n%s", step, diff)
		}
	}
}

// TestEngineLeavesAfterGrant returns the permit of a request that its engine
// refused: the engine gets no work for a while, and another one does.
func TestEngineLeavesAfterGrant(t *testing.T) {
	n := newNetwork(t, 3, "a", "b")
	n.setOwners("a", "b")
	p := n.acquire(t, "b", 1)
	left := p.Engine().ID()
	p.Done(context.Background(), NotRun, true)
	again, err := n.routers["b"].ingress.Acquire(context.Background(), n.doc, n.chatRequest(1), nil)
	if err != nil {
		t.Fatal(err)
	}
	if again.Engine().ID() == left {
		t.Errorf("the engine %s that refused got the request again", left)
	}
	n.routers["a"].engines.SetState(again.Engine().ID(), EngineLeaving)
	third := n.acquire(t, "b", 2)
	if third.Engine().ID() == again.Engine().ID() {
		t.Errorf("the leaving engine %s got new work", third.Engine().ID())
	}
}
