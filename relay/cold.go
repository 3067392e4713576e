package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/replicas"
)

// errNoShare means that a replica is cold, or has started again since it was chosen, and
// that this router may not send to it now.
var errNoShare = errors.New("the replica is cold or has started again, and this router has no share of what it may get")

// coldState is how cold replicas limit a request.
type coldState struct {
	limited bool // whether the service limits what cold replicas may receive
	// blocked is whether the latest choice left out all replicas that could serve, as they
	// are cold and this router has no share of what they may get; wait is the time until
	// it has one or one of them is warm.
	blocked bool
	wait    time.Duration
	// refusals counts chosen replicas whose share another request had taken by the time of
	// sending, or that had started again.
	refusals int
}

// warmOnly reports whether so many shares were refused that only warm replicas are tried.
func (c *coldState) warmOnly() bool { return c.refusals >= unsentTries }

// block records that no replica may be sent to for a time.
func (c *coldState) block(wait time.Duration) { c.blocked, c.wait = true, wait }

// sendable leaves out cold replicas to which this router may send nothing now.
func (t *task) sendable(now time.Time, all []*replicas.Replica) []*replicas.Replica {
	if !t.anyCold(now, all) {
		return all
	}
	unsendable := func(r *replicas.Replica) bool { return !t.isSendable(now, r) }
	return slices.DeleteFunc(slices.Clone(all), unsendable)
}

// warm leaves out cold replicas.
func (t *task) warm(now time.Time, all []*replicas.Replica) []*replicas.Replica {
	if !t.anyCold(now, all) {
		return all
	}
	cold := func(r *replicas.Replica) bool { return t.front.SlowStart.Cold(r, now) }
	return slices.DeleteFunc(slices.Clone(all), cold)
}

// anyCold reports whether the requests to one of the replicas are limited now.
func (t *task) anyCold(now time.Time, all []*replicas.Replica) bool {
	return t.cold.limited && slices.ContainsFunc(all, func(r *replicas.Replica) bool { return r.ColdFor(now) > 0 })
}

// isSendable reports whether a replica may get a request of this router now. A request
// whose share was refused several times tries warm replicas only.
func (t *task) isSendable(now time.Time, r *replicas.Replica) bool {
	l := t.front.SlowStart
	if t.cold.warmOnly() {
		return !l.Cold(r, now)
	}
	return l.Allowed(r, now)
}

// withShare is sendable for a choice: it notes whether all replicas that could serve were
// left out, and when that ends.
func (t *task) withShare(now time.Time, accepting []*replicas.Replica) []*replicas.Replica {
	t.cold.blocked = false
	kept := t.sendable(now, accepting)
	if len(kept) == len(accepting) || slices.ContainsFunc(kept, reachable) {
		return kept
	}
	if !slices.ContainsFunc(accepting, reachable) {
		return kept // all are unreachable, which is the reason to report
	}
	t.cold.block(t.nextShare(now))
	return nil
}

func reachable(r *replicas.Replica) bool { return !r.Unreachable() }

// nextShare returns the time until the first of the replicas that can be connected to may
// get a request of this router: it is warm or the share is free, and it accepts requests. A
// share that is free already is likely taken by another request at the moment.
func (t *task) nextShare(now time.Time) time.Duration {
	next := time.Duration(0)
	for _, r := range t.untried() {
		if !reachable(r) {
			continue
		}
		wait := cmp.Or(max(t.front.SlowStart.Delay(r, now), r.BackingOff(now)), retryFailed)
		if next == 0 || wait < next {
			next = wait
		}
	}
	return cmp.Or(next, retryFailed)
}

// takeShare takes the share for a request just before it is written. The replica may have
// become cold or started again since it was chosen.
func (t *task) takeShare(chosen *replicas.Replica) (sent func(), ok bool) {
	if !t.cold.limited {
		return func() {}, true
	}
	f := t.front
	r, ok := f.Table.Current(chosen)
	if !ok {
		f.Metrics.sentCold("restarted")
		return nil, false
	}
	now := f.Clock.Now()
	if !f.SlowStart.Cold(r, now) {
		return func() {}, true
	}
	written, ok := f.SlowStart.Acquire(r, now)
	if !ok {
		f.Metrics.sentCold("taken")
		return nil, false
	}
	f.Metrics.sentCold("sent")
	return func() { written(f.Clock.Now()) }, true
}

// applyCold applies the cold state in an answer, if the answer certainly is the replica's:
// signed, or one that promises not to have run the request.
func (t *task) applyCold(x *exchange) {
	if !x.reply.Signed && !x.reply.NotRun {
		return
	}
	f, r := t.front, x.replica
	if x.reply.ReportsCold {
		r.ReportCold(f.Clock.Now(), x.reply.Cold)
	}
	if x.reply.ColdMalformed && r.FirstMalformedCold() {
		f.Log.Event("malformed", "id", t.call.ID, "replica", r.ID(), "key", "cold")
	}
}

// shareRefused records that another request took the share first, or that the replica has
// started again. Nothing was sent, so the replica may be tried again.
func (t *task) shareRefused(r *replicas.Replica) {
	delete(t.tried, r.ID())
	t.cold.refusals++
	t.front.Log.Event("try", "id", t.call.ID, "replica", r.ID(), "verdict", "not-run", "error", errNoShare)
}
