package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// The errors that a Failure of this package wraps.
var (
	// ErrUnavailable means that an address gave no answer or refused to serve.
	ErrUnavailable = errors.New("store unavailable")
	// ErrLimited means that the service's rate limit refused the request.
	ErrLimited = errors.New("store rate limit exceeded")
	// ErrRejected means that the service found the request invalid.
	ErrRejected = errors.New("store rejected the request")
	// ErrLeaseGone means that the lease expired, was revoked or never existed.
	ErrLeaseGone = errors.New("lease not found")
	// ErrCompacted means that the history a watch asked for is gone.
	ErrCompacted = errors.New("watch history compacted")
	// ErrRewound means that the store is older than the watch's start, as
	// after a restore from a backup.
	ErrRewound = errors.New("store revision is behind the watch")
	// ErrWatchEnded means that the service ended a watch or it went silent.
	ErrWatchEnded = errors.New("watch ended")
)

// Messages of the service that decide a verdict.
const (
	messageNoLeader  = "etcdserver: no leader"
	messageLeaseGone = "etcdserver: requested lease not found"
)

const (
	defaultRetryAfter = time.Second
	maxErrorBytes     = 64 << 10
)

// errorBody is the body of an answer with an error status.
type errorBody struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// answerFailure turns an answer with an error status into a Failure.
func answerFailure(resp *http.Response) *peridotusher.Failure {
	var body errorBody
	// A body of another form leaves the message empty; the status decides then.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
	cause := peridotusher.CauseStoreDown
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, body.Message)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		err := fmt.Errorf("%w: %s", ErrLimited, detail)
		return peridotusher.FailWith(peridotusher.NotRun, cause, err).WithRetryAfter(retryAfter(resp))
	case body.Message == messageNoLeader:
		return peridotusher.FailWith(peridotusher.NotRun, cause, fmt.Errorf("%w: %s", ErrUnavailable, detail))
	case body.Message == messageLeaseGone:
		return peridotusher.FailWith(peridotusher.NotRun, cause, fmt.Errorf("%w: %s", ErrLeaseGone, detail))
	case resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusRequestTimeout:
		return peridotusher.FailWith(peridotusher.NotRun, cause, fmt.Errorf("%w: %s", ErrRejected, detail))
	default:
		return peridotusher.FailWith(peridotusher.MayHaveRun, cause, fmt.Errorf("%w: %s", ErrUnavailable, detail))
	}
}

// retryAfter reads the Retry-After header in seconds.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
