package replicas

import (
	"slices"
	"time"
)

const (
	// MaxBackoff bounds the back-off of a replica. A replica that takes no requests for
	// longer than this leaves the platform's list instead.
	MaxBackoff = 5 * time.Minute
	// maxTrialRequests is the number of concurrent requests that this router sends to a
	// replica after its back-off until one succeeds. The replica was overloaded, and without
	// this limit all waiting requests would arrive at once.
	maxTrialRequests = 1
)

// Backoff records that the replica asked this router to back off for a time, which is
// limited to MaxBackoff, and returns when the back-off ends. It is not published to other
// routers: the replica asks each of them itself, and they know its load.
func (r *Replica) Backoff(now time.Time, d time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := now.Add(min(d, MaxBackoff)); until.After(r.backoffUntil) {
		r.backoffUntil = until
		r.backedOff.Store(true)
	}
	return r.backoffUntil
}

// BackoffRemaining returns the remaining time of the replica's back-off; 0 if there is none.
func (r *Replica) BackoffRemaining(now time.Time) time.Duration {
	if !r.backedOff.Load() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.backoffUntil.Sub(now), 0)
}

// endBackoffTrial lifts the limit of maxTrialRequests after a request succeeded, unless the
// replica is still in back-off; r.mu is held.
func (r *Replica) endBackoffTrial(now time.Time) {
	if !now.Before(r.backoffUntil) {
		r.backedOff.Store(false)
	}
}

// accepts reports whether the replica may get a request: it is not in back-off and, until a
// request succeeds after one, it has fewer than maxTrialRequests requests of this router.
func (r *Replica) accepts(now time.Time) bool {
	return !r.backedOff.Load() || r.BackoffRemaining(now) == 0 && r.ownRequests.Load() < maxTrialRequests
}

// Accepting returns the replicas that may get requests now.
func Accepting(now time.Time, all []*Replica) []*Replica {
	rejects := func(r *Replica) bool { return !r.accepts(now) }
	if !slices.ContainsFunc(all, rejects) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), rejects)
}

// EarliestRetry returns the time until the back-off of the first of the replicas ends.
func EarliestRetry(now time.Time, all []*Replica) time.Duration {
	wait := MaxBackoff
	for _, r := range all {
		wait = min(wait, r.BackoffRemaining(now))
	}
	return wait
}
