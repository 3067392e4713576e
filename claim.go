package peridotusher

import (
	"net/http"
	"time"
)

// ClaimState is the progress of the call that a claim stands for.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld means that the router that made the claim may be sending the call.
	ClaimHeld ClaimState = "held"
	// ClaimAnswered means that the call ran and its answer is recorded.
	ClaimAnswered ClaimState = "answered"
	// ClaimRan means that the call ran and its answer is not recorded.
	ClaimRan ClaimState = "ran"
	// ClaimUnknown means that the call may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimExpired means that the claim is older than the window for which outcomes are kept.
	ClaimExpired ClaimState = "forgotten"
)

// ClaimOutcome is the recorded answer to a call.
type ClaimOutcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Claim records the use of one idempotency key in its bucket. Its times are in
// milliseconds of the wall clock of the router that made it, its holder.
type Claim struct {
	ID       string        `json:"id"`
	Content  string        `json:"content"` // hash of the call
	State    ClaimState    `json:"state"`
	Made     int64         `json:"made"`
	Deadline int64         `json:"deadline"` // the holder sends nothing after it
	Outcome  *ClaimOutcome `json:"outcome,omitempty"`
}

// NewClaim returns the claim of a call that will be sent before the deadline.
func NewClaim(id, content string, now, deadline time.Time) Claim {
	return Claim{ID: id, Content: content, State: ClaimHeld, Made: now.UnixMilli(), Deadline: deadline.UnixMilli()}
}

// PossiblyLost returns a claim of unknown state in place of one that an earlier call with
// the key may have made and that the store has lost.
func (c Claim) PossiblyLost() Claim {
	return Claim{Content: c.Content, State: ClaimUnknown, Made: c.Made}
}

// Repeat returns the response to a repeat of the call: the recorded outcome or a
// Failure. A call with the same key and other content is refused.
func (c Claim) Repeat(content string, now time.Time) (*ClaimOutcome, *Failure) {
	if c.State != ClaimExpired && c.Content != content {
		return nil, Fail(NotRun, CauseKeyReused, "the Idempotency-Key was used for another call; use a new key")
	}
	switch c.State {
	case ClaimAnswered:
		if c.Outcome != nil {
			return c.Outcome, nil
		}
		return nil, Fail(Ran, CauseOutcomeLost, "the call with this Idempotency-Key has run; its answer was not recorded")
	case ClaimRan:
		return nil, Fail(Ran, CauseOutcomeLost, "the call with this Idempotency-Key has run; its answer was not recorded")
	case ClaimExpired:
		return nil, Fail(MayHaveRun, CauseKeyExpired, "the Idempotency-Key was used longer ago than outcomes are kept")
	}
	if left := time.UnixMilli(c.Deadline).Sub(now); c.State == ClaimHeld && left > 0 {
		return nil, Fail(MayHaveRun, CauseKeyBusy, "a call with this Idempotency-Key is in progress").WithRetryAfter(left)
	}
	return nil, Fail(MayHaveRun, CauseOutcomeUnknown, "a call with this Idempotency-Key was begun and its outcome is unknown; it is not run again")
}
