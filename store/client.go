package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httphead"
)

const (
	defaultTimeout   = 2 * time.Second
	defaultWatchIdle = 5 * time.Minute
	idleConnTimeout  = 30 * time.Second
	maxIdleConns     = 32
	maxAnswerBytes   = 256 << 20
)

// Config holds the settings of a Client.
type Config struct {
	Addresses []string       // host:port of the service's members
	Timeout   time.Duration  // time limit of one attempt at one address; 2 s when zero
	WatchIdle time.Duration  // time without a message after which a watch ends; 5 min when zero
	Rand      func() float64 // random numbers in [0, 1); math/rand/v2 when nil
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *httphead.Transport
	preferred atomic.Int64 // index of the address to try first
	counts    counters
	revisions revisionHistory
}

// New returns a Client and a function that closes its idle connections.
func New(cfg Config) (*Client, func(), error) {
	if len(cfg.Addresses) == 0 {
		return nil, nil, errors.New("store client needs an address")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.WatchIdle == 0 {
		cfg.WatchIdle = defaultWatchIdle
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	c := &Client{cfg: cfg, transport: &httphead.Transport{Base: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,

		MaxResponseHeaderBytes: httphead.MaxBytes,
	}}}
	c.preferred.Store(int64(cfg.Rand() * float64(len(cfg.Addresses))))
	return c, c.transport.CloseIdleConnections, nil
}

// request is one call to the service's JSON gateway.
type request struct {
	path       string
	message    any
	idempotent bool          // may be repeated after its answer was lost
	count      *atomic.Int64 // counts each attempt
}

// call sends the request and decodes its answer into out. If an address is
// unavailable it tries the next one, unless the request could then run twice
// although it is not idempotent.
func (c *Client) call(ctx context.Context, req request, out any) error {
	body, err := json.Marshal(req.message)
	if err != nil {
		return peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, err)
	}
	first := int(c.preferred.Load())
	var failure *peridotusher.Failure
	for i := range c.cfg.Addresses {
		n := (first + i) % len(c.cfg.Addresses)
		req.count.Add(1)
		failure = c.attempt(ctx, c.cfg.Addresses[n], req.path, body, out)
		if failure == nil {
			c.preferred.Store(int64(n))
			return nil
		}
		if !errors.Is(failure, ErrUnavailable) {
			return failure
		}
		c.preferred.Store(int64((n + 1) % len(c.cfg.Addresses)))
		repeatable := req.idempotent || failure.Verdict() == peridotusher.NotRun
		if !repeatable || ctx.Err() != nil {
			return failure
		}
	}
	return failure
}

// attempt sends the request to one address and limits its time.
func (c *Client) attempt(ctx context.Context, address, path string, body []byte, out any) *peridotusher.Failure {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	resp, failure := c.post(ctx, address, path, body)
	if failure != nil {
		return failure
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return unavailableFailure(peridotusher.MayHaveRun, address, err)
	}
	// Reading to the end lets the transport reuse the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return nil
}

// post sends the request and returns the answer if its status is 200.
func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, *peridotusher.Failure) {
	reqBody := &singleUseBody{remaining: body}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, reqBody)
	if err != nil {
		return nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	// RoundTrip follows no redirect, and replays no POST without GetBody.
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if reqBody.closeAndReportRead() {
			return nil, unavailableFailure(peridotusher.MayHaveRun, address, err)
		}
		return nil, unavailableFailure(peridotusher.NotRun, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, failureFromResponse(resp)
	}
	return resp, nil
}

// unavailableFailure returns the Failure for an address that gave no usable answer.
func unavailableFailure(v peridotusher.Verdict, address string, err error) *peridotusher.Failure {
	wrapped := fmt.Errorf("%w: %s: %w", ErrUnavailable, address, err)
	return peridotusher.FailWith(v, peridotusher.CauseStoreDown, wrapped)
}
