package relay

import (
	"slices"

	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

// withinRate excludes the replicas that limit their request rate and for which this router has no
// token now.
func (t *task) withinRate(all []*replicas.Replica) []*replicas.Replica {
	hasNone := func(r *replicas.Replica) bool { return !t.mayTakeToken(r) }
	if !slices.ContainsFunc(all, hasNone) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), hasNone)
}

// mayTakeToken reports whether the request may be sent to the replica by its request rate. Once other
// requests took several tokens first, only replicas without a limit are tried.
func (t *task) mayTakeToken(r *replicas.Replica) bool {
	limiter := t.proxy.RateLimit
	if t.cold.warmOnly() {
		return !limiter.Limited(r.Hash())
	}
	return limiter.Allowed(r.Hash())
}

// isRateLimited reports whether a replica of the service limits its request rate.
func (t *task) isRateLimited() bool {
	return slices.ContainsFunc(t.proxy.Table.Ready(t.serviceName), func(r *replicas.Replica) bool { return t.proxy.RateLimit.Limited(r.Hash()) })
}

// withinRateOrBlock returns the replicas within their request rates for a choice. If that excludes all
// replicas that could serve, it records so.
func (t *task) withinRateOrBlock(sendable []*replicas.Replica) []*replicas.Replica {
	kept := t.withinRate(sendable)
	t.rateBlocked = !slices.ContainsFunc(kept, isConnectable) && slices.ContainsFunc(sendable, isConnectable)
	if t.rateBlocked {
		return nil
	}
	return kept
}

// refuseBeyondRate refuses the request because all replicas are at their request rates, and tells the
// client when there will be a token.
func (t *task) refuseBeyondRate(why string) {
	var hashes []uint32
	for _, r := range t.remainingCandidates() {
		hashes = append(hashes, r.Hash())
	}
	t.proxy.Metrics.countBeyondRate(t.serviceName)
	t.denyUntil(t.proxy.RateLimit.RetryAfter(t.serviceName, hashes), why)
}

// recordRate records what an answer says about the request rate that the replica accepts. It ignores an
// answer that may come from another server, as applyColdTime does.
func (t *task) recordRate(x *exchange) {
	f, r := t.proxy, x.replica
	if !x.reply.Signed && !x.reply.NotRun {
		return
	}
	if x.reply.RateMalformed {
		if r.MarkMalformedRate() {
			f.Log.Event("malformed", "id", t.call.ID, "replica", r.ID(), "key", "rate")
		}
		return
	}
	f.RecordRate(ratelimit.Answer{Replica: r.Hash(), Rate: x.reply.Rate, Limited: x.reply.LimitsRate, SentAt: t.sentAt})
}
