package relay

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
)

// Quarantine learns which parts of prompts crash replicas. Parts are those that other requests may
// share.
type Quarantine interface {
	// Admit decides whether a new request with the parts may be sent. left is the time until
	// another one may be.
	Admit(parts []uint64) (left time.Duration, ok bool)
	// Blocked reports whether an admitted request with the parts must not be sent any more, and
	// for how long.
	Blocked(parts []uint64) (left time.Duration, blocked bool)
	// RecordCrash records that a replica ended before it had sent anything of the answer to a
	// request with the parts, which was sent at a time.
	RecordCrash(r *replicas.Replica, sentAt time.Time, parts []uint64)
	// RecordBegun records that a replica begins to answer a request with the parts.
	RecordBegun(parts []uint64)
}

// reasonQuarantined is the reason of a refusal, as it is logged and counted.
const reasonQuarantined = "quarantined"

// sharedPartIDs returns the ids of the parts of the prompt that other requests may share: all but
// the last one.
func (t *task) sharedPartIDs() []uint64 {
	if t.partIDs == nil && len(t.call.Prompt) > 1 {
		shared := t.call.Prompt[:len(t.call.Prompt)-1]
		t.partIDs = make([]uint64, len(shared))
		for i, part := range shared {
			t.partIDs[i] = part.ID
		}
	}
	return t.partIDs
}

// quarantined reports whether the request must not be sent because requests like it crash
// replicas, and for how long.
func (t *task) quarantined() (left time.Duration, blocked bool) {
	parts := t.sharedPartIDs()
	if t.proxy.Quarantine == nil || len(parts) == 0 {
		return 0, false
	}
	return t.proxy.Quarantine.Blocked(parts)
}

// admit decides whether the request may be sent to replicas. If not, it has given the request its
// final answer.
func (t *task) admit(ctx context.Context) bool {
	parts := t.sharedPartIDs()
	if t.proxy.Quarantine == nil || len(parts) == 0 {
		return true
	}
	left, ok := t.proxy.Quarantine.Admit(parts)
	if !ok {
		t.answerQuarantined(ctx, left)
	}
	return ok
}

// answerQuarantined gives a quarantined request its final answer.
func (t *task) answerQuarantined(ctx context.Context, left time.Duration) {
	t.retryAfter = roundUp(left, time.Millisecond)
	t.answerUnserved(ctx, reasonQuarantined)
}

// recordBegun records that a replica begins to answer the request.
func (t *task) recordBegun() {
	if t.proxy.Quarantine != nil {
		t.proxy.Quarantine.RecordBegun(t.sharedPartIDs())
	}
}

// recordIfCrashed records a crash if a replica has crashed, whose connection broke with an error
// before it had sent anything of the answer. It asks once, since the request waits and a replica with too
// many connections resets them, too.
func (t *task) recordIfCrashed(ctx context.Context, r *replicas.Replica, err error) {
	f := t.proxy
	parts := t.sharedPartIDs()
	if f.Quarantine == nil || len(parts) == 0 || !quarantine.ClosedByPeer(err) || !f.hasCrashed(ctx, r, 0) {
		return
	}
	f.Log.Event("crash", "id", t.call.ID, "replica", r.ID(), "parts", quarantine.FormatParts(parts), "after", f.Clock.Now().Sub(t.sentAt))
	f.Metrics.countCrash()
	f.Quarantine.RecordCrash(r, t.sentAt, parts)
}
