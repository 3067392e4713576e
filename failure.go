package peridotusher

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Cause is a short machine-readable reason for a failed request.
type Cause string

// The causes that callers see in the error object's code field.
const (
	CauseBadRequest         Cause = "bad_request"
	CauseBadKey             Cause = "invalid_api_key"
	CauseUnknownModel       Cause = "model_not_found"
	CauseUnknownRoute       Cause = "not_found"
	CauseTooLarge           Cause = "body_too_large"
	CauseNoEndpoint         Cause = "no_endpoint_allowed"
	CauseOverloaded         Cause = "overloaded"
	CauseOrgLimit           Cause = "organisation_limit"
	CauseDeadline           Cause = "deadline_exceeded"
	CauseOwnerUnreachable   Cause = "owner_unreachable"
	CauseEndpointLost       Cause = "endpoint_lost"
	CauseEndpointError      Cause = "endpoint_error"
	CauseKeyMissing         Cause = "idempotency_key_missing"
	CauseKeyReused          Cause = "idempotency_key_reused"
	CauseKeyExpired         Cause = "idempotency_key_expired"
	CauseKeyBusy            Cause = "idempotency_key_in_progress"
	CauseOutcomeLost        Cause = "outcome_not_recorded"
	CauseOutcomeUnknown     Cause = "outcome_unknown"
	CauseFenced             Cause = "fencing_number_refused"
	CauseStoreDown          Cause = "store_unavailable"
	CauseStopping           Cause = "router_stopping"
	CauseCallerDisconnected Cause = "caller_gone"
	CauseQuarantined        Cause = "quarantined"
)

// Failure is the error of a request that was not answered completely.
type Failure struct {
	verdict    Verdict
	cause      Cause
	retryAfter time.Duration
	err        error
}

// Fail returns a Failure with a message for the caller.
func Fail(v Verdict, c Cause, format string, args ...any) *Failure {
	return &Failure{verdict: v, cause: c, err: errors.NewWithDepthf(1, format, args...)}
}

// FailWith returns a Failure that wraps err.
func FailWith(v Verdict, c Cause, err error) *Failure {
	return &Failure{verdict: v, cause: c, err: err}
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	g := *f
	g.retryAfter = d
	return &g
}

// AsResumed returns the failure for a caller that resumes a stream. Its request has
// been sent before, so the verdict NotRun could be wrong and becomes MayHaveRun.
func (f *Failure) AsResumed() *Failure {
	if f.verdict != NotRun {
		return f
	}
	g := *f
	g.verdict = MayHaveRun
	return &g
}

// Verdict returns whether the request may have run.
func (f *Failure) Verdict() Verdict { return f.verdict }

// Cause returns the machine-readable reason.
func (f *Failure) Cause() Cause { return f.cause }

// RetryAfter returns the delay after which the caller may try again, or zero.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Error implements error.
func (f *Failure) Error() string { return f.err.Error() }

// Unwrap returns the wrapped error.
func (f *Failure) Unwrap() error { return f.err }

// AsFailure returns the Failure in err's chain. Any other error becomes a
// Failure with the verdict MayHaveRun, which excludes nothing.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return FailWith(MayHaveRun, CauseEndpointError, err)
}
