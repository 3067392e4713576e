package relay

import (
	"time"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/replicas"
)

// grant is a slot at a replica that a coordinator granted, with the usage that is reported when
// the slot is released. The methods of a nil grant do nothing.
type grant struct {
	release func(u admission.Usage)
	usage   admission.Usage
	sentAt  time.Time // when the request was sent to the replica; zero if it was not
}

// newGrant returns the grant of a slot at r. It counts as failed until an answer was forwarded.
func newGrant(g admission.Grant, r *replicas.Replica) *grant {
	return &grant{release: g.Release, usage: admission.Usage{Replica: r.Hash(), Failed: true}}
}

// markSent records when the request is sent.
func (g *grant) markSent(now time.Time) {
	if g != nil {
		g.sentAt = now
	}
}

// recordLoad records the load and pace that the replica reports in its answer.
func (g *grant) recordLoad(reply Reply) {
	if g == nil || reply.Slots <= 0 || reply.Misdirected {
		return
	}
	u := &g.usage
	u.Running, u.Waiting, u.Slots, u.Pace = reply.Running, reply.Waiting, reply.Slots, reply.Pace
}

// recordShed records that the replica refused the request because of overload.
func (g *grant) recordShed() {
	if g != nil {
		g.usage.Shed = true
	}
}

// recordAnswer records whether the forwarded answer was a failure.
func (g *grant) recordAnswer(failed bool) {
	if g != nil {
		g.usage.Failed = failed
	}
}

// end releases the slot and reports its usage.
func (g *grant) end(now time.Time) {
	if g == nil {
		return
	}
	if g.sentAt.IsZero() {
		g.release(admission.Usage{})
		return
	}
	g.usage.Took = now.Sub(g.sentAt)
	g.release(g.usage)
}
