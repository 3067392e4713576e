package weights

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/httphead"
)

const (
	defaultRetryAfter = time.Second
	maxAnswerBytes    = 64 << 10
)

// ErrNotFound means that the weight store has no such model version.
var ErrNotFound = errors.New("weights not found")

// RateLimitedError means that the weight store refused a reservation because of its rate limit.
type RateLimitedError struct {
	retryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("weight store rate limit exceeded, retry after %s", e.retryAfter)
}

// RetryAfter returns the delay after which to retry.
func (e *RateLimitedError) RetryAfter() time.Duration { return e.retryAfter }

// Ticket is a reservation that allows one engine to load the weights of one model version.
type Ticket struct {
	id      string
	model   string
	version string
}

// ID returns the weight store's ID of the reservation.
func (t Ticket) ID() string { return t.id }

// Model returns the model's name.
func (t Ticket) Model() string { return t.model }

// Version returns the model's version.
func (t Ticket) Version() string { return t.version }

// Client reserves weights. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the weight store at the base URL, with a timeout for each call, and a
// function that closes its idle connections.
func New(base string, timeout time.Duration) (*Client, func()) {
	// Each call uses a new connection, so that the transport never replays a request: a replayed
	// reservation would count twice against the rate limit.
	transport := &httphead.Transport{Base: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: httphead.MaxBytes}}
	c := &Client{base, &http.Client{Transport: transport, Timeout: timeout}}
	return c, transport.CloseIdleConnections
}

// ticketMessage is the wire type of a reservation.
type ticketMessage struct {
	Ticket string `json:"ticket"`
}

// Reserve reserves the weights of a model version. It returns a *RateLimitedError if the weight
// store's rate limit is exceeded.
func (c *Client) Reserve(ctx context.Context, model, version string) (Ticket, error) {
	target := c.base + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Ticket{}, errors.Wrap(err, "reserve weights")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Ticket{}, errors.Wrap(err, "reserve weights")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return Ticket{}, &RateLimitedError{retryAfter(resp)}
	case http.StatusNotFound:
		return Ticket{}, errors.Wrapf(ErrNotFound, "model %s version %s", model, version)
	default:
		return Ticket{}, errors.Newf("reserve weights: status %d", resp.StatusCode)
	}
	var message ticketMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&message); err != nil {
		return Ticket{}, errors.Wrap(err, "reserve weights")
	}
	return Ticket{message.Ticket, model, version}, nil
}

// retryAfter returns the Retry-After header, which is in seconds, or defaultRetryAfter if it is
// missing or invalid.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
