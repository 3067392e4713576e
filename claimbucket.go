package peridotusher

import (
	"maps"
	"slices"
	"time"
)

// ClaimAction is what a ClaimChange does to a claim.
type ClaimAction uint8

// The actions on a claim.
const (
	// ActionClaim adds a claim unless its key has one.
	ActionClaim ClaimAction = iota + 1
	// ActionRecord sets the state and outcome of a held claim.
	ActionRecord
	// ActionRelease removes a claim whose call did not run.
	ActionRelease
)

// ClaimChange is one change to the claim of a key. Record and release apply
// only to the claim with the same ID, so every change is idempotent and may be
// retried when the store's answer was lost.
type ClaimChange struct {
	Action ClaimAction
	Hash   string // of the key
	Claim  Claim
	// PossiblyLost is set if the key may have had a claim that the store has lost.
	PossiblyLost bool
}

// ClaimResult is the result of a ClaimChange. Done is false when the key
// belongs to another claim, which is then in Present, or when the bucket is full.
type ClaimResult struct {
	Done    bool
	Full    bool
	Present Claim
	Fence   uint64 // the store's revision of the bucket that holds the claim
}

// Limits of a bucket.
const (
	// maxBucketBytes is below the largest value that the platform's store accepts.
	maxBucketBytes = 768 << 10
	// maxOutcomeBytes is the part of a bucket that outcomes may fill; the rest is
	// reserved for further claims.
	maxOutcomeBytes = maxBucketBytes / 2
	// maxClaimBytes is an upper limit for the size of a stored claim without its outcome.
	maxClaimBytes = 320
	// maxExpiredClaims is the number of claims older than the window that a bucket keeps.
	maxExpiredClaims = maxBucketBytes / 8 / maxClaimBytes
)

// ClaimBucket is a set of claims that are stored together as one value. It is
// immutable; Apply returns the next bucket.
type ClaimBucket struct {
	claims       map[string]Claim // by hash of the key
	outcomeBytes int              // size of the outcomes
}

// Len returns the number of claims.
func (b ClaimBucket) Len() int { return len(b.claims) }

// Get returns the claim of a key.
func (b ClaimBucket) Get(hash string) (Claim, bool) {
	c, ok := b.claims[hash]
	return c, ok
}

// Apply applies the changes in their order. It returns the next bucket, the
// result of each change, and whether the bucket differs from this one.
func (b ClaimBucket) Apply(changes []ClaimChange, now time.Time, window time.Duration) (ClaimBucket, []ClaimResult, bool) {
	next := ClaimBucket{claims: maps.Clone(b.claims), outcomeBytes: b.outcomeBytes}
	if next.claims == nil {
		next.claims = map[string]Claim{}
	}
	results := make([]ClaimResult, len(changes))
	changed := false
	for i, change := range changes {
		did := false
		results[i], did = next.apply(change)
		changed = changed || did
	}
	if changed {
		next.expire(now, window)
	}
	return next, results, changed
}

// apply applies one change and reports whether it changed the bucket.
func (b *ClaimBucket) apply(change ClaimChange) (ClaimResult, bool) {
	present, ok := b.claims[change.Hash]
	own := ok && present.ID == change.Claim.ID
	switch change.Action {
	case ActionClaim:
		if ok {
			return ClaimResult{Done: own, Present: present}, false
		}
		if change.PossiblyLost {
			return ClaimResult{Present: change.Claim.PossiblyLost()}, false
		}
		if b.full() {
			return ClaimResult{Full: true}, false
		}
		b.claims[change.Hash] = change.Claim
		return ClaimResult{Done: true, Present: change.Claim}, true
	case ActionRecord:
		if !own || present.State != ClaimHeld {
			return ClaimResult{Done: own, Present: present}, false
		}
		b.record(change)
		return ClaimResult{Done: true, Present: b.claims[change.Hash]}, true
	case ActionRelease:
		if own && present.State == ClaimHeld {
			delete(b.claims, change.Hash)
			return ClaimResult{Done: true}, true
		}
	}
	return ClaimResult{Done: !ok, Present: present}, false
}

// record sets a claim's outcome, without the answer if that would exceed the limit.
func (b *ClaimBucket) record(change ClaimChange) {
	c := b.claims[change.Hash]
	c.State = change.Claim.State
	c.Outcome = change.Claim.Outcome
	if size := c.Outcome.size(); b.outcomeBytes+size > maxOutcomeBytes {
		c.Outcome = nil
		c.State = ClaimRan
	} else {
		b.outcomeBytes += size
	}
	b.claims[change.Hash] = c
}

// full reports whether one more claim would exceed the limit.
func (b *ClaimBucket) full() bool {
	return b.outcomeBytes+(len(b.claims)+1)*maxClaimBytes > maxBucketBytes
}

// expire drops the outcomes of claims older than the window, and the oldest of
// these claims beyond maxExpiredClaims.
func (b *ClaimBucket) expire(now time.Time, window time.Duration) {
	oldest := now.Add(-window).UnixMilli()
	var expired []string
	for hash, c := range b.claims {
		if c.Made >= oldest {
			continue
		}
		b.outcomeBytes -= c.Outcome.size()
		b.claims[hash] = Claim{ID: c.ID, State: ClaimExpired, Made: c.Made}
		expired = append(expired, hash)
	}
	if len(expired) <= maxExpiredClaims {
		return
	}
	slices.SortFunc(expired, func(x, y string) int { return int(b.claims[x].Made - b.claims[y].Made) })
	for _, hash := range expired[:len(expired)-maxExpiredClaims] {
		delete(b.claims, hash)
	}
}

// size returns an upper limit of the outcome's encoded size in bytes.
func (o *ClaimOutcome) size() int {
	if o == nil {
		return 0
	}
	const perField, perByte = 16, 2
	size := perField + perByte*len(o.Body)
	for name, values := range o.Header {
		size += perField + perByte*len(name)
		for _, v := range values {
			size += perField + perByte*len(v)
		}
	}
	return size
}
