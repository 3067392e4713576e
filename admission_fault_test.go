package peridotusher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// works returns the work of each engine by the router's count, without the zeros.
func (r *testRouter) works() map[EngineID]int {
	works := map[EngineID]int{}
	for _, e := range r.engines.All() {
		if w := r.owner.Ledger.Work(e.ID()); w != 0 {
			works[e.ID()] = w
		}
	}
	return works
}

// TestAskForwardedToOwner asks through a router that considers a wrong router the
// owner. That router forwards the ask, so a single ledger counts all permits.
func TestAskForwardedToOwner(t *testing.T) {
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
		t.Errorf("work at the router that forwarded (-want +got):\n%s", diff)
	}
	p.Done(context.Background(), Ran, false)
	total = 0
	for _, w := range n.routers["a"].works() {
		total += w
	}
	if diff := cmp.Diff(1, total); diff != "" {
		t.Errorf("work after the release (-want +got):\n%s", diff)
	}
}

// TestNewOwnerRespectsFormerOwnersCount disconnects two routers that both consider
// themselves the owner. The new owner must count the work that the former owner last
// reported, so that no engine carries more than one request beyond the limit.
func TestNewOwnerRespectsFormerOwnersCount(t *testing.T) {
	n := newNetwork(t, 3, "a", "b")
	n.routers["a"].setOwners("a", "b")
	n.routers["b"].setOwners("b", "a")
	for k := range 3 {
		n.acquire(t, "a", k)
	}
	n.routers["b"].owner.Ledger.SetRemote(n.clock.Now(), n.routers["a"].owner.Ledger.Loads())
	n.unreachable["a"] = true
	for _, e := range n.routers["b"].engines.All() {
		n.routers["b"].owner.Ledger.TakeOwnership(n.clock.Now(), e.ID())
	}
	for k := 3; k < 6; k++ {
		answer := n.routers["b"].owner.Ask(context.Background(), Ask{Request: n.chatRequest(k), Engine: engineName(k - 3), Final: false})
		if answer.Granted {
			t.Errorf("engine %d: the new owner granted beyond the former owner's count", k-3)
		}
	}
}

// TestOwnerCrash lets the deputy take over from an owner that crashed while permits
// were held. The deputy learns of the permits from their ingress and accepts their
// release.
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
		t.Errorf("work after the releases (-want +got):\n%s", diff)
	}
}

// TestPermitRelease releases a permit once, twice, never, and with a lost message or a
// late report.
func TestPermitRelease(t *testing.T) {
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
			n.routers["a"].owner.Release(Release{Permit: p.ID(), Engine: p.Engine().ID()})
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

// TestDelayedEngineReport applies an engine's report that is 5 s old. Work of the
// permits held at that time must not be counted twice, other work must be counted.
func TestDelayedEngineReport(t *testing.T) {
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

// TestRefusalWhenEveryEngineIsFull checks that a request that cannot be granted before
// its deadline is refused at once, with a retry delay that grows with the queue.
func TestRefusalWhenEveryEngineIsFull(t *testing.T) {
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
	shortDeadline := n.chatRequest(9)
	shortDeadline.Deadline = n.clock.Now().Add(2 * time.Second)
	first := o.Ask(context.Background(), Ask{Request: shortDeadline, Engine: engineName(0), Ingress: "a", Final: true})
	if first.Granted || first.Queued || first.RetryAfter < minRetryAfter {
		t.Errorf("answer %+v, want a refusal with a delay", first)
	}
	longDeadline := n.chatRequest(10)
	o.Ask(context.Background(), Ask{Request: longDeadline, Engine: engineName(0), Ingress: "a", Final: true})
	second := o.Ask(context.Background(), Ask{Request: shortDeadline, Engine: engineName(0), Ingress: "a", Final: true})
	if second.RetryAfter <= first.RetryAfter {
		t.Errorf("delay %v after %v, want it to grow with the queue", second.RetryAfter, first.RetryAfter)
	}
}

// TestClockStep steps the clock back or forward by an hour. A permit that its ingress
// renews must not be counted twice or lost.
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
			t.Errorf("step %v: work after the release (-want +got):\n%s", step, diff)
		}
	}
}

// TestRefusingOrLeavingEngineGetsNoWork releases the permit of a request that its engine
// refused. The next request must go to another engine, and after that engine
// starts to leave, the one after it too.
func TestRefusingOrLeavingEngineGetsNoWork(t *testing.T) {
	n := newNetwork(t, 3, "a", "b")
	n.setOwners("a", "b")
	p := n.acquire(t, "b", 1)
	refusing := p.Engine().ID()
	p.Done(context.Background(), NotRun, true)
	again, err := n.routers["b"].ingress.Acquire(context.Background(), n.doc, n.chatRequest(1), nil)
	if err != nil {
		t.Fatal(err)
	}
	if again.Engine().ID() == refusing {
		t.Errorf("the engine %s that refused got the request again", refusing)
	}
	n.routers["a"].engines.SetState(again.Engine().ID(), EngineLeaving)
	third := n.acquire(t, "b", 2)
	if third.Engine().ID() == again.Engine().ID() {
		t.Errorf("the leaving engine %s got new work", third.Engine().ID())
	}
}
