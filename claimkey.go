package peridotusher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// claimBucketInterval is the interval of issue times whose keys share a bucket.
	claimBucketInterval = 250 * time.Millisecond
	// untimedClaimBuckets is the number of buckets for keys without a timestamp.
	untimedClaimBuckets = 256
	// claimHashBytes is the length of the hash that identifies a key.
	claimHashBytes = 16
	// maxClaimKeySkew is how far a key's timestamp may be ahead of the router's clock.
	maxClaimKeySkew = time.Minute
)

// ClaimKey identifies one non-idempotent call by the hash of its
// organisation, service and idempotency key.
type ClaimKey struct {
	hash   string
	bucket string
	issued time.Time // zero for a key without a timestamp
}

// NewClaimKey returns the claim key of an idempotency key. The timestamp of a
// time-ordered UUID (version 7) is used as the key's time of issue.
func NewClaimKey(organisation, service, key string) ClaimKey {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	k := ClaimKey{hash: hex.EncodeToString(sum[:claimHashBytes])}
	if issued, ok := issueTime(key); ok {
		k.issued = issued
		k.bucket = fmt.Sprintf("t%d", issued.UnixMilli()/claimBucketInterval.Milliseconds())
		return k
	}
	k.bucket = fmt.Sprintf("h%d", int(sum[claimHashBytes])%untimedClaimBuckets)
	return k
}

// issueTime returns the timestamp of a UUID of version 7.
func issueTime(key string) (time.Time, bool) {
	const version, timeBytes = 7, 6
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != version {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:timeBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// ClaimPossiblyLost reports whether the bucket may hold claims made before the given time, which
// the store may have lost: its keys were issued before then or have no timestamp.
func ClaimPossiblyLost(bucket string, before time.Time) bool {
	var slot int64
	if _, err := fmt.Sscanf(bucket, "t%d", &slot); err != nil {
		return true
	}
	return !time.UnixMilli(slot * claimBucketInterval.Milliseconds()).After(before)
}

// Hash returns the hash that identifies the key in its bucket.
func (k ClaimKey) Hash() string { return k.hash }

// Bucket returns the name of the bucket that holds the key's claim.
func (k ClaimKey) Bucket() string { return k.bucket }

// Issued returns the key's time of issue and whether the key has one.
func (k ClaimKey) Issued() (time.Time, bool) { return k.issued, !k.issued.IsZero() }

// Recent reports whether the key was issued so recently that its bucket may not
// exist yet.
func (k ClaimKey) Recent(now time.Time) bool {
	const slots = 4
	return !k.issued.IsZero() && now.Sub(k.issued) < slots*claimBucketInterval
}

// CheckIssueTime returns nil if the key's time of issue lies within the window before
// now or is unknown, else the Failure for the caller.
func (k ClaimKey) CheckIssueTime(now time.Time, window time.Duration) *Failure {
	if k.issued.IsZero() {
		return nil
	}
	if now.Sub(k.issued) > window {
		return Fail(MayHaveRun, CauseKeyExpired, "the Idempotency-Key was issued more than %s ago and what became of its call is forgotten; check the outcome before you send the call with a new key", window)
	}
	if k.issued.Sub(now) > maxClaimKeySkew {
		return Fail(NotRun, CauseBadRequest, "the Idempotency-Key is a UUID whose time is more than %s in the future; set the clock that makes your keys", maxClaimKeySkew)
	}
	return nil
}
