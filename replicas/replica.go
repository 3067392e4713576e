package replicas

import (
	"sync"
	"sync/atomic"
	"time"
)

// aliveTTL is how long after a successful request a replica counts as alive.
const aliveTTL = 2500 * time.Millisecond

// Replica is one start of a replica, from its start until it restarts, with its load,
// health and reachability.
type Replica struct {
	entry Entry
	hash  uint32

	ownRequests    atomic.Int32
	reservedTokens atomic.Int64
	remote         remoteLoad
	// backedOff is set from the beginning of a back-off until a request succeeds after
	// the back-off.
	backedOff atomic.Bool
	// malformedLoad is set once the replica reported a malformed load.
	malformedLoad atomic.Bool
	// malformedRate is set once the replica stated a malformed request rate.
	malformedRate atomic.Bool
	// malformedCold is set once the replica reported a malformed cold time.
	malformedCold atomic.Bool
	// coldUntil is the time at which the replica stops being cold, nil if it never was cold.
	// It is a copy of the cold state that is read without the lock, since each request reads
	// it for all replicas.
	coldUntil atomic.Pointer[time.Time]

	mu           sync.Mutex
	health       health
	reachability reachability
	// backoffUntil is when this router's back-off from the replica ends.
	backoffUntil time.Time
	prefill      meter
	report       loadReport
	pace         pace
	cold         cold
	good         uint32
	bad          uint32
	lastOutcome  time.Time // when good or bad last changed
	lastSuccess  time.Time // when a request of any router last succeeded
	leavingSince time.Time // when it began to leave or was removed; zero if neither
}

// remoteLoad is the load of other routers' requests at a replica.
type remoteLoad struct {
	counted     atomic.Int32 // sum of the counts that routers published
	reported    atomic.Int32 // from the replica's last report
	smoothed    atomic.Int32 // reported, averaged over smoothingTimeConstant
	useReported atomic.Bool  // whether reported is used instead of counted
}

func (o *remoteLoad) load() int {
	if o.useReported.Load() {
		return int(o.reported.Load())
	}
	return int(o.counted.Load())
}

func newReplica(e Entry) *Replica { return &Replica{entry: e, hash: HashOf(e.ID, e.StartedAt)} }

// withEntry returns the replica for a changed entry: a new one if the replica restarted, or
// if fields changed that are read without a lock.
func (r *Replica) withEntry(e Entry, restarted bool) *Replica {
	if restarted {
		return newReplica(e)
	}
	if r.entry.Slots != e.Slots || r.entry.Zone != e.Zone {
		n := newReplica(e)
		r.mu.Lock()
		defer r.mu.Unlock()
		n.cold, n.leavingSince = r.cold, r.leavingSince
		n.publishCold()
		return n
	}
	return r
}

// ID returns the ID under which the replica registered.
func (r *Replica) ID() string { return r.entry.ID }

// Address returns the IP address and port.
func (r *Replica) Address() string { return r.entry.Address }

// Service returns the name of the service.
func (r *Replica) Service() string { return r.entry.Service }

// Zone returns the availability zone.
func (r *Replica) Zone() string { return r.entry.Zone }

// Slots returns the number of requests that the replica runs concurrently.
func (r *Replica) Slots() int { return max(r.entry.Slots, 1) }

// Hash returns the hash that identifies this start of the replica; see HashOf.
func (r *Replica) Hash() uint32 { return r.hash }

// Load returns the number of requests at the replica: this router's own and the known
// requests of other routers.
func (r *Replica) Load() int { return int(r.ownRequests.Load()) + r.remote.load() }

// SmoothedLoad returns Load with the reported load averaged over a short time: requests of
// a plain service end long before other routers receive a report that counts them.
func (r *Replica) SmoothedLoad() int {
	if r.remote.useReported.Load() {
		return int(r.ownRequests.Load() + r.remote.smoothed.Load())
	}
	return r.Load()
}

// Acquire adds a request of this router to the load; the returned function removes it.
func (r *Replica) Acquire() (release func()) {
	r.ownRequests.Add(1)
	return sync.OnceFunc(func() { r.ownRequests.Add(-1) })
}

// Record records the outcome of a request of this router.
func (r *Replica) Record(now time.Time, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOutcome = now
	if o == Good {
		r.good++
		r.reachability.answeredAt = now
		r.lastSuccess = now
		r.endBackoffTrial(now)
	} else {
		r.bad++
	}
	r.health.record(now, o)
}

// outcomeCounts returns the number of good and bad outcomes of this router's requests since r
// was created, and the time of the last one.
func (r *Replica) outcomeCounts() (good, bad uint32, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.good, r.bad, r.lastOutcome
}

// mergeOutcomes adds outcomes that another router published to the replica's health.
func (r *Replica) mergeOutcomes(now time.Time, good, bad uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.add(now, float64(good), float64(bad))
	if good > 0 {
		r.lastSuccess = now
	}
}

// Alive reports whether a request of any router succeeded recently.
func (r *Replica) Alive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastSuccess.IsZero() && now.Sub(r.lastSuccess) < aliveTTL
}

// MarkMalformedRate records that an answer stated a malformed request rate, and reports whether
// that is the first one.
func (r *Replica) MarkMalformedRate() (first bool) { return !r.malformedRate.Swap(true) }

// setLeaving records whether the replica is leaving or was removed.
func (r *Replica) setLeaving(now time.Time, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !leaving:
		r.leavingSince = time.Time{}
	case r.leavingSince.IsZero():
		r.leavingSince = now
	}
}

// LeavingFor returns for how long the replica has been leaving or removed; 0 if it is neither.
func (r *Replica) LeavingFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingSince.IsZero() {
		return 0
	}
	return now.Sub(r.leavingSince)
}

// isSource reports whether other replicas can still fetch cached parts (shared prompt
// prefixes) from this one.
func (r *Replica) isSource(now time.Time) bool {
	return r.LeavingFor(now) < sourceGracePeriod
}

// outcomeSummary holds the decayed number of a replica's outcomes, their failure ratio, and
// whether the replica is ejected.
type outcomeSummary struct {
	samples, failureRatio float64
	ejected               bool
}

func (r *Replica) summarizeOutcomes(now time.Time) outcomeSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	samples, failed := r.health.failureRatio(now)
	return outcomeSummary{samples: samples, failureRatio: failed, ejected: r.health.ejected(now)}
}

// AddPrefill adds prompt tokens that were sent to the replica and that it has yet to read.
func (r *Replica) AddPrefill(now time.Time, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefill.add(now, float64(tokens))
}

// PrefillBacklog returns the estimated number of prompt tokens that the replica has yet to read.
func (r *Replica) PrefillBacklog(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefill.level(now)
}
