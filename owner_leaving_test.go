package peridotusher

import (
	"testing"
	"time"
)

// TestAskDoesNotWaitForALeavingEngine queues an ask for an engine that then starts to
// leave. The ask must not stay in the engine's queue.
func TestAskDoesNotWaitForALeavingEngine(t *testing.T) {
	n := newNetwork(t, 2, "router-1")
	r := n.routers["router-1"]
	n.setOwners("router-1", "router-1")
	now := n.clock.Now()
	req := n.chatRequest(1)
	ask := Ask{Request: req, Engine: engineName(0), Ingress: "router-1"}
	full := req
	full.Work = 100
	r.owner.Ledger.Adopt(now, HeldPermit{Permit: "full", Ask: Ask{Request: full, Engine: engineName(0)}}, now.Add(time.Hour))
	r.owner.Queue.Push(&QueuedAsk{Ask: ask, QueuedAt: now, WaitUntil: now.Add(time.Hour), Weight: 1}, 1)
	r.owner.Tick()
	if got := r.owner.Queue.Len(engineName(0)); got != 1 {
		t.Fatalf("%d asks queued for the full engine, want 1", got)
	}
	r.engines.SetState(engineName(0), EngineLeaving)
	r.owner.Tick()
	if got := r.owner.Queue.Len(engineName(0)); got != 0 {
		t.Errorf("%d asks queued for the leaving engine, want 0", got)
	}
}
