package peridotusher

import (
	"encoding/json"
	"maps"
	"net/http"

	"github.com/cockroachdb/errors"
)

// claimFormat is the version of the storage format of a bucket.
const claimFormat = 1

// storedBucket is the stored form of a ClaimBucket.
type storedBucket struct {
	Format int              `json:"format"`
	Claims map[string]Claim `json:"claims"`
}

// Encode returns the stored form of the bucket.
func (b ClaimBucket) Encode() ([]byte, error) {
	return json.Marshal(storedBucket{Format: claimFormat, Claims: b.claims})
}

// DecodeClaimBucket decodes a stored bucket. Empty input is an empty bucket.
func DecodeClaimBucket(stored []byte) (ClaimBucket, error) {
	if len(stored) == 0 {
		return ClaimBucket{}, nil
	}
	var s storedBucket
	if err := json.Unmarshal(stored, &s); err != nil {
		return ClaimBucket{}, errors.Wrap(err, "decode stored claims")
	}
	if s.Format != claimFormat {
		return ClaimBucket{}, errors.Newf("stored claims have format %d, this router reads %d", s.Format, claimFormat)
	}
	b := ClaimBucket{claims: s.Claims}
	for hash, c := range b.claims {
		if !c.valid() {
			return ClaimBucket{}, errors.Newf("stored claim %q is in an unknown state %q", hash, c.State)
		}
		b.outcomeBytes += c.Outcome.size()
	}
	return b, nil
}

// valid returns whether the claim has an ID and a known state.
func (c Claim) valid() bool {
	switch c.State {
	case ClaimHeld, ClaimAnswered, ClaimRan, ClaimUnknown, ClaimExpired:
		return c.ID != ""
	}
	return false
}

// unrecordedHeaders are the response headers that are not recorded.
var unrecordedHeaders = []string{"Date", "Connection", "Keep-Alive", "Content-Length"}

// AnswerOutcome returns the state and the record of an answered call. An answer with
// a body over the limit is not recorded; the state then is ClaimRan.
func AnswerOutcome(status int, header http.Header, body []byte, limit int) (ClaimState, *ClaimOutcome) {
	if len(body) > limit {
		return ClaimRan, nil
	}
	recorded := maps.Clone(header)
	for _, name := range unrecordedHeaders {
		delete(recorded, name)
	}
	return ClaimAnswered, &ClaimOutcome{Status: status, Header: recorded, Body: body}
}
