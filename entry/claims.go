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
	// recordTimeout bounds the wait for an outcome to be recorded before the
	// caller gets the answer. The outcome is still written after it.
	recordTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the wait for the record of a call that failed.
	releaseTimeout = 100 * time.Millisecond
)

// heldClaim is a claim that this router holds for one call.
type heldClaim struct {
	key      peridotusher.ClaimKey
	claim    peridotusher.Claim
	deadline time.Time // monotonic; nothing is sent after it
	fence    uint64
}

// callOnce claims the key before it sends the call and records what came of
// it. It goes on when the caller goes away, because a repeat needs the outcome.
func (s *services) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	key := peridotusher.NewClaimKey(call.Organisation, call.Service.Name(), call.Key)
	if f := key.Admissible(s.host.Clock.Now(), call.Document.Policy().ClaimWindow()); f != nil {
		return caller.ServiceAnswer{}, f
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Deadline.Sub(s.host.Clock.Now()))
	defer cancel()
	held, repeat, err := s.claim(ctx, call, key)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	if repeat != nil {
		return caller.ServiceAnswer{Status: repeat.Status, Header: repeat.Header, Body: repeat.Body, Replayed: true}, nil
	}
	req := serviceRequest(call, false)
	req.Check = func() error { return held.check(s.host.Clock) }
	if call.Service.Fencing() == document.FencingChecked {
		req.Fence = held.fence
	}
	answer, err := s.callAny(ctx, call, req)
	s.settle(ctx, call, held, answer, err)
	return answer, err
}

// claim claims the call's key, or returns the outcome of the call that has it.
func (s *services) claim(ctx context.Context, call caller.ServiceCall, key peridotusher.ClaimKey) (heldClaim, *peridotusher.ClaimOutcome, error) {
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

// settle records what came of the call, or releases the key if it did not run.
func (s *services) settle(ctx context.Context, call caller.ServiceCall, held heldClaim, answer caller.ServiceAnswer, err error) {
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
		s.host.Log.WithError(err).WithField("request", call.ID).Warn("outcome not recorded yet")
	}
}

// check refuses to send once the deadline has passed, as after a pause of the process.
func (h heldClaim) check(clock peridotusher.Clock) error {
	if clock.Now().Before(h.deadline) {
		return nil
	}
	return peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseDeadline, "the claim's deadline passed before the call was sent")
}

func (h heldClaim) change(action peridotusher.ClaimAction) peridotusher.ClaimChange {
	return peridotusher.ClaimChange{Action: action, Hash: h.key.Hash(), Claim: h.claim}
}

// contentHashBytes is the length of the hash of a call.
const contentHashBytes = 16

// contentHash returns the hash of what makes two calls the same.
func contentHash(call caller.ServiceCall) string {
	h := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil)[:contentHashBytes])
}
