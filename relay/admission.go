package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

// Admission grants requests to plain services slots at replicas, for the whole fleet.
type Admission interface {
	Acquire(ctx context.Context, r admission.Request) admission.Grant
}

// granted is the reason of a choice that a coordinator made.
const granted = "granted"

// next picks the replica for the next attempt: the one at which a coordinator grants a slot,
// or one of this router's choice if no coordinator decides.
func (t *task) next(ctx context.Context) (*replicas.Replica, bool) {
	if !t.sharesAdmission() || len(t.usable()) == 0 {
		return t.choose(ctx)
	}
	r, refused := t.acquire(ctx)
	if r == nil && !refused {
		return t.choose(ctx)
	}
	return r, r != nil
}

// sharesAdmission reports whether a coordinator decides where the request goes.
func (t *task) sharesAdmission() bool {
	f := t.front
	if f.Admission == nil || t.engine() || t.route.Cached {
		return false
	}
	return f.AdmitAlways || slices.ContainsFunc(f.Table.Ready(t.serviceName), (*replicas.Replica).ReportsPace)
}

// usable returns the ready replicas that the request may be sent to.
func (t *task) usable() []*replicas.Replica {
	return slices.DeleteFunc(slices.Clone(t.others()), (*replicas.Replica).Unreachable)
}

// acquire requests a slot from the coordinator. It returns no replica if the router is to choose one, or if the
// request is refused.
func (t *task) acquire(ctx context.Context) (r *replicas.Replica, refused bool) {
	f := t.front
	asked := f.Clock.Now()
	g := f.Admission.Acquire(ctx, t.admissionRequest(asked))
	waited := f.Clock.Now().Sub(asked)
	t.queued += waited
	f.Metrics.admitted(t.routeName(), g, waited)
	f.Log.Event("admission", "id", t.call.ID, "service", t.serviceName, "state", g.State, "cause", g.Cause,
		"coordinator", g.Coordinator, "waited", waited, "retry", g.RetryAfter)
	switch g.State {
	case admission.Refused:
		t.refused(g.RetryAfter)
		return nil, true
	case admission.Granted:
		return t.take(g), false
	}
	return nil, false
}

// refused records a coordinator's refusal and when the client may retry.
func (t *task) refused(after time.Duration) {
	t.retryAfter = after.Truncate(time.Millisecond) + time.Millisecond // Retry-After has milliseconds
	if !t.mayHaveRun {
		t.failure = peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "no slot at a replica in time")
	}
}

// take returns the replica of the grant. If the request cannot be sent there, it returns the
// grant unused and nil.
func (t *task) take(g admission.Grant) *replicas.Replica {
	usable := t.usable()
	i := slices.IndexFunc(usable, func(r *replicas.Replica) bool { return r.Hash() == g.Replica })
	if i < 0 {
		g.Release(admission.Usage{})
		return nil
	}
	r := usable[i]
	t.grant = newGrant(g, r)
	t.choice = placing.Choice{Reason: granted}
	t.load = r.Load()
	return r
}

// admissionRequest returns the request for a slot.
func (t *task) admissionRequest(now time.Time) admission.Request {
	left := t.until.Sub(now)
	r := admission.Request{
		Service: t.serviceName, Zone: t.front.Zone, Priority: t.priority(),
		LatencyTarget: left, Deadline: left, Fingerprint: t.fingerprint(), Exclude: t.excluded(),
	}
	// Once the latency objective is missed, only the deadline is left to meet.
	if inTime := t.route.Objective - now.Sub(t.began); inTime > 0 {
		r.LatencyTarget = min(left, inTime)
	}
	if t.organisation != nil {
		r.Organisation = t.organisation.Name
	}
	return r
}

// excluded returns the ready replicas that the request cannot be sent to.
func (t *task) excluded() []uint32 {
	usable := t.usable()
	var out []uint32
	for _, r := range t.front.Table.Ready(t.serviceName) {
		if !slices.Contains(usable, r) {
			out = append(out, r.Hash())
		}
	}
	return out
}

// fingerprint returns a hash that is the same for each retry of the request by its client.
func (t *task) fingerprint() uint64 {
	h := xxhash.New()
	if t.organisation != nil {
		_, _ = h.WriteString(t.organisation.Name) // a hash returns no error
	}
	for _, part := range []string{"\x00", t.r.Method, "\x00", t.r.RequestURI, "\x00"} {
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(t.body)
	return max(h.Sum64(), 1) // 0 means unknown
}

// releaseGrant returns the grant, if there is one, with what was learned of the replica.
func (t *task) releaseGrant() {
	t.grant.end(t.front.Clock.Now())
	t.grant = nil
}
