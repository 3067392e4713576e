package peridotusher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAcquireAvoidsLostHomeEngine places a chat, then acquires a permit that must avoid
// the chat's home engine, as after the loss of that engine. It must be for the
// remaining engine, although the chat's record names the lost one.
func TestAcquireAvoidsLostHomeEngine(t *testing.T) {
	n := newNetwork(t, 2, "a")
	n.setOwners("a", "a")
	ctx := context.Background()
	lost := n.acquire(t, "a", 1)
	home := lost.Engine().ID()
	lost.Done(ctx, Ran, true)
	p, err := n.routers["a"].ingress.Acquire(ctx, n.doc, n.chatRequest(1), map[EngineID]bool{home: true})
	if err != nil {
		t.Fatalf("no permit for the other engine: %v", err)
	}
	if p.Engine().ID() == home {
		t.Errorf("permit for engine %s, which was to be avoided", home)
	}
}

// TestUnexplainedWorkDoesNotBlockEngine lets one engine report work that no permit
// accounts for. It may still get a request that keeps it within the bound.
func TestUnexplainedWorkDoesNotBlockEngine(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLedger()
	limits := LoadLimits{Bound: 1.25, Slots: 8, Engines: []EngineID{engineName(0), engineName(1)}}
	for _, id := range limits.Engines {
		l.TakeOwnership(now, id)
	}
	now = now.Add(takeoverPeriod)
	l.SetReported(now, engineName(0), EngineReport{Work: 1, Sampled: now})
	ask := Ask{Engine: engineName(0), Request: Request{Work: 1}}
	got := l.Admit(now, "first", ask, now.Add(time.Minute), limits)
	if diff := cmp.Diff(true, got); diff != "" {
		t.Errorf("admitted at load 1 of a total of 1 (-want +got):\n%s", diff)
	}
	got = l.Admit(now, "second", ask, now.Add(time.Minute), limits)
	if diff := cmp.Diff(false, got); diff != "" {
		t.Errorf("admitted at load 2 of a total of 2 (-want +got):\n%s", diff)
	}
}

// TestAskRefusedIfBackoffExceedsDeadline asks for an engine whose backoff after a refusal
// ends after the request's deadline. The ask must be refused at once, not queued.
func TestAskRefusedIfBackoffExceedsDeadline(t *testing.T) {
	n := newNetwork(t, 2, "a")
	n.setOwners("a", "a")
	owner := n.routers["a"].owner
	for k := range 2 {
		owner.Ledger.TakeOwnership(n.clock.Now(), engineName(k))
		owner.Ledger.SuspendUntil(engineName(k), n.clock.Now().Add(refusalBackoff))
	}
	req := n.chatRequest(1)
	req.Deadline = n.clock.Now().Add(refusalBackoff / 2)
	answer := owner.Ask(context.Background(), Ask{Request: req, Engine: engineName(0), Final: true})
	if answer.Queued || answer.Granted {
		t.Errorf("ask is to be refused at once; got %+v", answer)
	}
	if answer.RetryAfter <= 0 {
		t.Errorf("refusal without a retry delay: %+v", answer)
	}
}

// TestBurstIsQueued sends many asks at once for an engine with little load whose
// answers take long. They must be queued, because the engine can run several at once;
// an estimate of the wait by the current load alone would refuse them.
func TestBurstIsQueued(t *testing.T) {
	n := newNetwork(t, 2, "a")
	n.setOwners("a", "a")
	owner := n.routers["a"].owner
	now := n.clock.Now()
	for k := range 2 {
		owner.Ledger.TakeOwnership(now, engineName(k))
		owner.Ledger.SuspendUntil(engineName(k), now.Add(refusalBackoff))
	}
	owner.Ledger.Adopt(now, HeldPermit{Permit: "running", Ask: Ask{Engine: engineName(0), Request: Request{Work: 1}}}, now.Add(time.Minute))
	owner.Queue.RecordPermitTime(engineName(0), 4*time.Second)
	for k := range 20 {
		answer := owner.Ask(context.Background(), Ask{Request: n.chatRequest(k), Engine: engineName(0), Final: true})
		if !answer.Queued {
			t.Fatalf("ask %d is to wait; got %+v", k, answer)
		}
	}
}
