package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
)

const (
	// claimTimeout bounds the wait for a claim, whatever the call's deadline.
	claimTimeout = time.Second
	// recordTimeout bounds how long the answer is delayed until its outcome has
	// been recorded. The outcome is still written after that.
	recordTimeout = 500 * time.Millisecond
	// releaseTimeout is the same bound for a call that failed.
	releaseTimeout = 100 * time.Millisecond
)

// heldClaim is a claim on an idempotency key that this router holds for one call.
type heldClaim struct {
	key      peridotusher.ClaimKey
	claim    peridotusher.Claim
	deadline time.Time // on the monotonic clock; the call is not sent after it
	fence    uint64
}

// callOnce claims the call's idempotency key, sends the call and records its
// outcome. It continues after the client has disconnected, because a repeat of the
// call needs the outcome.
func (s *serviceHandler) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	key := peridotusher.NewClaimKey(call.Organisation, call.Service.Name(), call.Key)
	if f := key.CheckIssueTime(s.host.Clock.Now(), call.Document.Policy().ClaimWindow()); f != nil {
		return caller.ServiceAnswer{}, f
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Deadline.Sub(s.host.Clock.Now()))
	defer cancel()
	held, recorded, err := s.claim(ctx, call, key)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	if recorded != nil {
		return caller.ServiceAnswer{Status: recorded.Status, Header: recorded.Header, Body: recorded.Body, Replayed: true}, nil
	}
	req := serviceRequest(call, false)
	req.Check = func() error { return held.checkDeadline(s.host.Clock) }
	if call.Service.Fencing() == document.FencingChecked {
		req.Fence = held.fence
	}
	answer, err := s.callNonIdempotent(ctx, call, req)
	s.recordOutcome(ctx, call, held, answer, err)
	return answer, err
}

// claim claims the call's key, or returns the recorded outcome of an earlier call
// with the same key.
func (s *serviceHandler) claim(ctx context.Context, call caller.ServiceCall, key peridotusher.ClaimKey) (heldClaim, *peridotusher.ClaimOutcome, error) {
	now := s.host.Clock.Now()
	content := contentHash(call)
	held := heldClaim{key: key, deadline: call.Deadline}
	held.claim = peridotusher.NewClaim(uuid.NewString(), content, now, call.Deadline)
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, call.Deadline.Sub(now)/2))
	defer cancel()
	result, err := s.host.claims.Change(ctx, key, held.change(peridotusher.ActionClaim))
	switch {
	case err != nil:
		return held, nil, err
	case result.Full:
		return held, nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "too many calls with keys of the same moment").WithRetryAfter(claimRetryAfter)
	case !result.Done:
		outcome, f := result.Present.Repeat(content, s.host.Clock.Now())
		if f != nil {
			return held, nil, f
		}
		return held, outcome, nil
	}
	held.fence = result.Fence
	return held, nil, nil
}

// recordOutcome records the call's outcome, or releases the key if the call did
// not run.
func (s *serviceHandler) recordOutcome(ctx context.Context, call caller.ServiceCall, held heldClaim, answer caller.ServiceAnswer, err error) {
	action, timeout := peridotusher.ActionRecord, releaseTimeout
	switch {
	case err == nil:
		timeout = recordTimeout
		held.claim.State, held.claim.Outcome = peridotusher.AnswerOutcome(answer.Status, answer.Header, answer.Body, call.Document.Policy().OutcomeLimit())
	case peridotusher.AsFailure(err).Verdict() == peridotusher.NotRun:
		action = peridotusher.ActionRelease
	case peridotusher.AsFailure(err).Verdict() == peridotusher.Ran:
		held.claim.State = peridotusher.ClaimRan
	default:
		held.claim.State = peridotusher.ClaimUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	if _, err := s.host.claims.Change(ctx, held.key, held.change(action)); err != nil {
		s.host.Log.WithError(err).WithField("request", call.ID).Warn("outcome of call not recorded in time")
	}
}

// checkDeadline returns an error once the deadline has passed, which can happen
// before the call is sent if the process was paused.
func (h heldClaim) checkDeadline(clock peridotusher.Clock) error {
	if clock.Now().Before(h.deadline) {
		return nil
	}
	return peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseDeadline, "the claim's deadline passed before the call was sent")
}

func (h heldClaim) change(action peridotusher.ClaimAction) peridotusher.ClaimChange {
	return peridotusher.ClaimChange{Action: action, Hash: h.key.Hash(), Claim: h.claim}
}

// contentHashBytes is the length of a call's truncated content hash.
const contentHashBytes = 16

// contentHash returns the hash of the parts in which two calls must agree to be
// the same: method, path, query and body.
func contentHash(call caller.ServiceCall) string {
	h := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil)[:contentHashBytes])
}
