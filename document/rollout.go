package document

import "time"

// Rollout holds the policy figures for orders to engines. Its keys stand in
// the section [policy].
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

// Loads returns the number of a zone's engines of one model that load a version at once.
func (r Rollout) Loads() int { return r.loads }

// Soak returns the time between two waves of a rollout.
func (r Rollout) Soak() time.Duration { return r.soak }

// Errors returns the excess of a version's error share, from 0 to 1, that pauses a rollout.
func (r Rollout) Errors() float64 { return r.errors }

// Slower returns the multiple of the other versions' first-token time that pauses a rollout.
func (r Rollout) Slower() float64 { return r.slower }

// Lease returns the time of the order-giver's lease.
func (r Rollout) Lease() time.Duration { return r.lease }

// Flight returns the longest time between an order's check and its arrival.
func (r Rollout) Flight() time.Duration { return r.flight }

// Stale returns the age from which a load report is not used.
func (r Rollout) Stale() time.Duration { return r.stale }

// Warmup returns the time in which a joining engine comes to its full share.
func (r Rollout) Warmup() time.Duration { return r.warmup }

// Exports returns the number of caches copied from a leaving engine per second.
func (r Rollout) Exports() int { return r.exports }

// Prefill returns the time to compute one prompt token.
func (r Rollout) Prefill() time.Duration { return r.prefill }

// CopyTime returns the time to copy the cache of one prompt token.
func (r Rollout) CopyTime() time.Duration { return r.copyTime }

// Eject returns the share of a model's engines, from 0 to 1, that may be ejected at once.
func (r Rollout) Eject() float64 { return r.eject }

// Rollout returns the figures for orders to engines.
func (p Policy) Rollout() Rollout { return p.rollout }
