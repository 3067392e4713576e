package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// errShareRefused means that the request was not sent, because another request took this router's
// share of a cold replica or of a request rate, or because the replica has restarted since it was
// chosen.
var errShareRefused = errors.New("this router has no free share of the replica's request limit, or the replica has restarted")

// coldState is the state of a request with respect to cold replicas. A replica that started
// recently is cold: it gets requests at a limited rate, of which each router has a share.
type coldState struct {
	limited bool // whether the service limits requests to cold replicas
	// blocked is whether the latest choice excluded all replicas that could serve, because they
	// are cold and this router has no free share; wait is the time until it has one or one of
	// them is warm.
	blocked bool
	wait    time.Duration
	// shareRefusals counts attempts that were not sent because another request had taken the share
	// since the choice, or because the replica had restarted.
	shareRefusals int
}

// warmOnly reports whether so many shares were refused that only warm replicas are tried.
func (c *coldState) warmOnly() bool { return c.shareRefusals >= maxUnsentAttempts }

// block records that no replica may be sent to for the given time.
func (c *coldState) block(wait time.Duration) { c.blocked, c.wait = true, wait }

// sendable excludes cold replicas to which this router may not send now.
func (t *task) sendable(now time.Time, all []*replicas.Replica) []*replicas.Replica {
	if !t.anyCold(now, all) {
		return all
	}
	unsendable := func(r *replicas.Replica) bool { return !t.isSendable(now, r) }
	return slices.DeleteFunc(slices.Clone(all), unsendable)
}

// warm excludes cold replicas.
func (t *task) warm(now time.Time, all []*replicas.Replica) []*replicas.Replica {
	if !t.anyCold(now, all) {
		return all
	}
	cold := func(r *replicas.Replica) bool { return t.proxy.SlowStart.Cold(r, now) }
	return slices.DeleteFunc(slices.Clone(all), cold)
}

// anyCold reports whether requests to one of the replicas are limited now.
func (t *task) anyCold(now time.Time, all []*replicas.Replica) bool {
	return t.cold.limited && slices.ContainsFunc(all, func(r *replicas.Replica) bool { return r.ColdRemaining(now) > 0 })
}

// isSendable reports whether this router may send the request to a replica now. Once several
// shares were refused, it may be sent to warm replicas only.
func (t *task) isSendable(now time.Time, r *replicas.Replica) bool {
	limiter := t.proxy.SlowStart
	if t.cold.warmOnly() {
		return !limiter.Cold(r, now)
	}
	return limiter.Allowed(r, now)
}

// sendableOrBlock returns the sendable replicas for a choice. If that excludes all replicas that
// could serve, it records so and until when.
func (t *task) sendableOrBlock(now time.Time, accepting []*replicas.Replica) []*replicas.Replica {
	t.cold.blocked = false
	kept := t.sendable(now, accepting)
	if len(kept) == len(accepting) || slices.ContainsFunc(kept, isConnectable) {
		return kept
	}
	if !slices.ContainsFunc(accepting, isConnectable) {
		return kept // all are unreachable, which is the reason to report
	}
	t.cold.block(t.untilNextShare(now))
	return nil
}

func isConnectable(r *replicas.Replica) bool { return !r.Unreachable() }

// untilNextShare returns the time until this router may send to the first of the connectable
// replicas: the replica accepts requests, and is warm or has a free share. A share that is free
// now counts as retryAfterFailed, because another request is likely to take it.
func (t *task) untilNextShare(now time.Time) time.Duration {
	next := time.Duration(0)
	for _, r := range t.remainingCandidates() {
		if !isConnectable(r) {
			continue
		}
		wait := cmp.Or(max(t.proxy.SlowStart.Delay(r, now), r.BackoffRemaining(now)), retryAfterFailed)
		if next == 0 || wait < next {
			next = wait
		}
	}
	return cmp.Or(next, retryAfterFailed)
}

// takeShare takes the share for a request just before it is written, if the replica limits its
// request rate or is cold. The replica may have become so, or have restarted, since it was chosen.
// The caller calls recordSent once the request is written.
func (t *task) takeShare(chosen *replicas.Replica) (recordSent func(), ok bool) {
	f := t.proxy
	if !f.RateLimit.Take(chosen.Hash()) {
		return nil, false
	}
	if !t.cold.limited {
		return func() {}, true
	}
	r, ok := f.Table.Current(chosen)
	if !ok {
		f.Metrics.countColdSend("restarted")
		return nil, false
	}
	now := f.Clock.Now()
	if !f.SlowStart.Cold(r, now) {
		return func() {}, true
	}
	recordSentAt, ok := f.SlowStart.Acquire(r, now)
	if !ok {
		f.Metrics.countColdSend("taken")
		return nil, false
	}
	f.Metrics.countColdSend("sent")
	return func() { recordSentAt(f.Clock.Now()) }, true
}

// applyColdTime applies the time for which the replica reports that it will stay cold. It ignores an
// answer that may come from another server: one that is not signed and does not state that the
// request was not run.
func (t *task) applyColdTime(x *exchange) {
	if !x.reply.Signed && !x.reply.NotRun {
		return
	}
	f, r := t.proxy, x.replica
	if x.reply.ReportsCold {
		r.ReportCold(f.Clock.Now(), x.reply.ColdRemaining)
	}
	if x.reply.ColdMalformed && r.MarkMalformedCold() {
		f.Log.Event("malformed", "id", t.call.ID, "replica", r.ID(), "key", "cold")
	}
}

// recordShareRefusal records that another request took the share first, or that the replica has
// restarted. Nothing was sent, so the replica may be tried again.
func (t *task) recordShareRefusal(r *replicas.Replica) {
	delete(t.tried, r.ID())
	t.cold.shareRefusals++
	t.logAttempt(r, peridotusher.NotRun, "error", errShareRefused)
}
