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

// Admission grants slots at replicas, coordinated between all routers, to requests for plain
// services.
type Admission interface {
	Acquire(ctx context.Context, r admission.Request) admission.Grant
}

// reasonGranted is the reason of a choice that a coordinator made, as it is logged.
const reasonGranted = "granted"

// nextReplica picks the replica for the next attempt: the one at which a coordinator grants a
// slot, or this router's own choice if no coordinator decides.
func (t *task) nextReplica(ctx context.Context) (*replicas.Replica, bool) {
	if !t.usesCoordinator() || len(t.usable()) == 0 {
		return t.choose(ctx)
	}
	r, refused := t.acquireSlot(ctx)
	if r == nil && !refused {
		return t.choose(ctx)
	}
	return r, r != nil
}

// usesCoordinator reports whether the request is subject to admission by a coordinator.
func (t *task) usesCoordinator() bool {
	f := t.proxy
	if f.Admission == nil || t.isModelService() || t.route.Cached {
		return false
	}
	return f.AlwaysAdmit || slices.ContainsFunc(f.Table.Ready(t.serviceName), (*replicas.Replica).ReportsPace)
}

// usable returns the replicas to which the request can be sent now.
func (t *task) usable() []*replicas.Replica {
	return slices.DeleteFunc(slices.Clone(t.retryCandidates()), (*replicas.Replica).Unreachable)
}

// acquireSlot requests a slot from the coordinator. It returns nil if the request is refused, or
// if this router is to choose the replica.
func (t *task) acquireSlot(ctx context.Context) (r *replicas.Replica, refused bool) {
	f := t.proxy
	requestedAt := f.Clock.Now()
	g := f.Admission.Acquire(ctx, t.admissionRequest(requestedAt))
	waited := f.Clock.Now().Sub(requestedAt)
	t.admissionWait += waited
	f.Metrics.recordAdmission(t.routeName(), g, waited)
	f.Log.Event("admission", "id", t.call.ID, "service", t.serviceName, "state", g.State, "cause", g.Cause,
		"coordinator", g.Coordinator, "waited", waited, "retry", g.RetryAfter)
	switch g.State {
	case admission.Refused:
		t.recordRefusal(g.RetryAfter)
		return nil, true
	case admission.Granted:
		return t.useGrant(g), false
	}
	return nil, false
}

// recordRefusal records that a coordinator refused the request, and when the client may retry.
func (t *task) recordRefusal(after time.Duration) {
	t.retryAfter = after.Truncate(time.Millisecond) + time.Millisecond // rounded up for Retry-After
	if !t.mayHaveRun {
		t.recordFailure(peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "no slot at a replica in time"))
	}
}

// useGrant returns the replica of the grant. If the request cannot be sent there, it releases the
// grant unused and returns nil.
func (t *task) useGrant(g admission.Grant) *replicas.Replica {
	usable := t.usable()
	i := slices.IndexFunc(usable, func(r *replicas.Replica) bool { return r.Hash() == g.Replica })
	if i < 0 {
		g.Release(admission.Usage{})
		return nil
	}
	r := usable[i]
	t.grant = newGrant(g, r)
	t.choice = placing.Choice{Reason: reasonGranted}
	t.chosenLoad = r.Load()
	return r
}

// admissionRequest returns the description of the request that the coordinator decides on.
func (t *task) admissionRequest(now time.Time) admission.Request {
	remaining := t.deadline.Sub(now)
	r := admission.Request{
		Service: t.serviceName, Zone: t.proxy.Zone, Priority: t.priority(),
		LatencyTarget: remaining, Deadline: remaining, Fingerprint: t.fingerprint(), Exclude: t.excluded(),
	}
	// Once the latency objective is missed, only the deadline matters.
	if untilObjective := t.route.Objective - now.Sub(t.began); untilObjective > 0 {
		r.LatencyTarget = min(remaining, untilObjective)
	}
	if t.organisation != nil {
		r.Organisation = t.organisation.Name
	}
	return r
}

// excluded returns the ready replicas to which the request cannot be sent.
func (t *task) excluded() []uint32 {
	usable := t.usable()
	var out []uint32
	for _, r := range t.proxy.Table.Ready(t.serviceName) {
		if !slices.Contains(usable, r) {
			out = append(out, r.Hash())
		}
	}
	return out
}

// fingerprint returns a hash of organisation, method, target and body, which is the same when the
// client retries the request.
func (t *task) fingerprint() uint64 {
	h := xxhash.New()
	if t.organisation != nil {
		_, _ = h.WriteString(t.organisation.Name) // a hash never returns an error
	}
	for _, part := range []string{"\x00", t.r.Method, "\x00", t.r.RequestURI, "\x00"} {
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(t.body)
	return max(h.Sum64(), 1) // 0 stands for unknown
}

// releaseGrant releases the grant, if there is one, and reports the observed load and outcome.
func (t *task) releaseGrant() {
	t.grant.end(t.proxy.Clock.Now())
	t.grant = nil
}
