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

// Loads returns how many of a zone's engines of one model may load a version at the same time.
func (r Rollout) Loads() int { return r.loads }

// Soak returns the interval between waves of a rollout.
func (r Rollout) Soak() time.Duration { return r.soak }

// Errors returns by how much a version's error share, from 0 to 1, may exceed that of the
// other versions before the rollout is paused.
func (r Rollout) Errors() float64 { return r.errors }

// Slower returns the multiple of the other versions' first-token time at which a rollout is paused.
func (r Rollout) Slower() float64 { return r.slower }

// Lease returns the duration of the lease of the router that sends a zone's orders.
func (r Rollout) Lease() time.Duration { return r.lease }

// Flight returns the maximum time between the check of an order at the router and its arrival at the engine.
func (r Rollout) Flight() time.Duration { return r.flight }

// Stale returns the age from which a load report is not used.
func (r Rollout) Stale() time.Duration { return r.stale }

// Warmup returns the time in which a joining engine's share of the chats rises to its full value.
func (r Rollout) Warmup() time.Duration { return r.warmup }

// Exports returns the number of caches copied from a leaving engine per second, zero for none.
func (r Rollout) Exports() int { return r.exports }

// Prefill returns the time that an engine needs to compute one prompt token.
func (r Rollout) Prefill() time.Duration { return r.prefill }

// CopyTime returns the time to copy the cache of one prompt token between engines.
func (r Rollout) CopyTime() time.Duration { return r.copyTime }

// Eject returns the share of a model's engines, from 0 to 1, that may be ejected at once.
func (r Rollout) Eject() float64 { return r.eject }

// Rollout returns the policy for rollouts and other orders to engines.
func (p Policy) Rollout() Rollout { return p.rollout }
