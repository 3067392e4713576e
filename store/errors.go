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
	// ErrRateLimited means that the service's rate limit refused the request.
	ErrRateLimited = errors.New("store rate limit exceeded")
	// ErrRejected means that the service rejected the request as invalid.
	ErrRejected = errors.New("store rejected the request")
	// ErrLeaseNotFound means that the lease expired, was revoked or never existed.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the service has deleted the history from which a
	// watch was to begin.
	ErrCompacted = errors.New("watch history compacted")
	// ErrRewound means that the store's revision is lower than the one from
	// which a watch was to begin, as after a restore from a backup.
	ErrRewound = errors.New("store revision is behind the watch")
	// ErrWatchEnded means that the service ended a watch, or that it sent nothing
	// for Config.WatchIdle.
	ErrWatchEnded = errors.New("watch ended")
)

// Messages of the service from which a Failure's verdict follows.
const (
	messageNoLeader      = "etcdserver: no leader"
	messageLeaseNotFound = "etcdserver: requested lease not found"
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

// failureFromResponse converts an answer with an error status to a Failure.
func failureFromResponse(resp *http.Response) *peridotusher.Failure {
	var body errorBody
	// If the body is not JSON, the message stays empty and the status alone decides.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
	cause := peridotusher.CauseStoreDown
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, body.Message)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		err := fmt.Errorf("%w: %s", ErrRateLimited, detail)
		return peridotusher.FailWith(peridotusher.NotRun, cause, err).WithRetryAfter(retryAfter(resp))
	case body.Message == messageNoLeader:
		return peridotusher.FailWith(peridotusher.NotRun, cause, fmt.Errorf("%w: %s", ErrUnavailable, detail))
	case body.Message == messageLeaseNotFound:
		return peridotusher.FailWith(peridotusher.NotRun, cause, fmt.Errorf("%w: %s", ErrLeaseNotFound, detail))
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
