package document

import "time"

// Rollout holds the policy for rollouts and other orders (commands) to engines.
// Its keys are in the section [policy].
type Rollout struct {
	loads    int
	soak     time.Duration
	errors   float64
	slower   float64
	lease    time.Duration
	flight   time.Duration
	stale    time.Duration
	warmup   time.Duration
	exports  int
	prefill  time.Duration
	copyTime time.Duration
	eject    float64
}

// MaxConcurrentLoads returns how many of a zone's engines of one model may load a version at the same time.
func (r Rollout) MaxConcurrentLoads() int { return r.loads }

// Soak returns the interval between waves of a rollout.
func (r Rollout) Soak() time.Duration { return r.soak }

// MaxErrorExcess returns by how much a version's error share, from 0 to 1, may exceed that of the
// other versions before the rollout is paused.
func (r Rollout) MaxErrorExcess() float64 { return r.errors }

// MaxFirstTokenSlowdown returns the multiple of the other versions' first-token time at which a rollout is paused.
func (r Rollout) MaxFirstTokenSlowdown() float64 { return r.slower }

// Lease returns the duration of the lease of the router that sends a zone's orders.
func (r Rollout) Lease() time.Duration { return r.lease }

// OrderTimeout returns the maximum time between the check of an order at the router and its arrival at the engine.
func (r Rollout) OrderTimeout() time.Duration { return r.flight }

// MaxReportAge returns the age from which a load report is not used.
func (r Rollout) MaxReportAge() time.Duration { return r.stale }

// Warmup returns the time in which a joining engine's share of the chats rises to its full value.
func (r Rollout) Warmup() time.Duration { return r.warmup }

// ExportsPerSecond returns the number of caches copied from a leaving engine per second, zero for none.
func (r Rollout) ExportsPerSecond() int { return r.exports }

// Prefill returns the time that an engine needs to compute one prompt token.
func (r Rollout) Prefill() time.Duration { return r.prefill }

// CopyTime returns the time to copy the cache of one prompt token between engines.
func (r Rollout) CopyTime() time.Duration { return r.copyTime }

// MaxEjectedShare returns the share of a model's engines, from 0 to 1, that may be ejected at once.
func (r Rollout) MaxEjectedShare() float64 { return r.eject }

// Rollout returns the policy for rollouts and other orders to engines.
func (p Policy) Rollout() Rollout { return p.rollout }
