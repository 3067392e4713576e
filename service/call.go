package service

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httphead"
)

// Headers of a call and its answer.
const (
	headerKey     = "Idempotency-Key"
	headerFence   = "X-Fencing-Token"
	headerVerdict = "X-Verdict"
	headerRate    = "X-Request-Rate"
)

// maxRequestRate bounds the request rate that a replica may state, in requests a second.
const maxRequestRate = 1 << 20

// Request is one call to a plain service.
type Request struct {
	Method     string
	Path       string // unescaped
	Query      string // encoded, without the question mark
	Header     http.Header
	Body       []byte
	Idempotent bool         // the call may be sent more than once
	Fence      uint64       // fencing number, zero for none
	Key        string       // idempotency key, empty for none
	Check      func() error // runs right before the first byte is written; an error aborts the call

	// Departed reports whether the endpoint was taken out of use, so that its end is no crash; nil if
	// that is not known.
	Departed func() bool

	// OwnConnection sends an idempotent call on a connection of its own, like all others. On a
	// shared one a late copy of an earlier answer may be taken for the answer to this call.
	OwnConnection bool

	AnswerLimit int64 // largest answer body in bytes, Options.AnswerLimit if zero
}

// Response is the answer to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// RequestRate returns the number of requests a second that the replica accepts from all routers
// together, and whether it limits them.
func (r Response) RequestRate() (rate float64, limited bool, err error) {
	text := r.Header.Get(headerRate)
	if text == "" {
		return 0, false, nil
	}
	rate, err = strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || rate < 0 || rate > maxRequestRate {
		return 0, false, errors.Newf("%s is %q, want a number from 0 to %d", headerRate, text, maxRequestRate)
	}
	return rate, true, nil
}

// Call sends one request and reads its complete answer. The error is a
// *peridotusher.Failure. If the connection broke inside the body, the Response
// holds the part of the body that arrived.
func (c *Client) Call(ctx context.Context, address string, r Request) (Response, error) {
	reading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := r.httpRequest(reading, address)
	if err != nil {
		return Response{}, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseBadRequest, err)
	}
	var connected atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connected.Store(info.Conn.(*conn)) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, written, err := c.send(req, r, &connected)
	if err != nil {
		return Response{}, sendFailure(ctx, written, err)
	}
	defer resp.Body.Close()
	if f := Refusal(resp); f != nil {
		return Response{}, f
	}
	body, err := c.readBody(address, resp.Body, r, cancel)
	if err == nil && brokeOffAtEnd(ctx, address, r, resp, connected.Load()) {
		err = io.ErrUnexpectedEOF
	}
	answer := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if err != nil {
		return answer, bodyFailure(ctx, resp.StatusCode, err)
	}
	return answer, nil
}

// httpRequest returns the HTTP request. It has no GetBody, so that the transport
// can't send the body twice.
func (r Request) httpRequest(ctx context.Context, address string) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: address, Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	if r.Key != "" {
		req.Header.Set(headerKey, r.Key)
	}
	if r.Fence != 0 {
		req.Header.Set(headerFence, strconv.FormatUint(r.Fence, 10))
	}
	return req, nil
}

// send sends the request, an idempotent one on a new or a reused connection, and returns the answer with an
// unread body, or an error and whether any of the request may have been written. connected is set by the
// request's trace.
func (c *Client) send(req *http.Request, r Request, connected *atomic.Pointer[conn]) (*http.Response, bool, error) {
	if r.Idempotent && !r.OwnConnection && r.Check == nil {
		resp, err := c.pooled.RoundTrip(req)
		return resp, connected.Load() != nil, err
	}
	t, g := c.singleUseTransport(r.Check)
	resp, err := t.RoundTrip(req)
	if err != nil {
		written, cause := g.finish(err)
		return nil, written, cause
	}
	return resp, true, nil
}

// readBody reads the body of an answer within the limits of its size and of the memory for answers.
// cancel cancels the call.
func (c *Client) readBody(address string, body io.Reader, r Request, cancel context.CancelCauseFunc) ([]byte, error) {
	limit := c.opts.AnswerLimit
	if r.AnswerLimit > 0 {
		limit = r.AnswerLimit
	}
	answer := &answerReader{body: body, address: address, limit: limit, memory: c.memory, cancel: cancel}
	release := c.memory.add(answer)
	defer release()
	return answer.readAll()
}

// Refusal returns a Failure if the answer states that the endpoint refused the
// request before running it, else nil.
func Refusal(resp *http.Response) *peridotusher.Failure {
	status := resp.StatusCode
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return nil
	}
	if resp.Header.Get(headerVerdict) != peridotusher.NotRun.String() {
		return nil
	}
	f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "endpoint refused with status %d", status)
	return f.WithRetryAfter(RetryAfter(resp.Header))
}

// RetryAfter returns the delay of a Retry-After header in seconds, or zero.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// sendFailure returns the Failure of a call without an answer.
func sendFailure(ctx context.Context, written bool, err error) *peridotusher.Failure {
	verdict := peridotusher.NotRun
	if written {
		verdict = peridotusher.MayHaveRun
	}
	cause := peridotusher.CauseEndpointLost
	if errors.Is(err, httphead.ErrMalformed) {
		cause = peridotusher.CauseEndpointError
	}
	return peridotusher.FailWith(verdict, CauseOf(ctx, cause), err)
}

// bodyFailure returns the Failure of an answer that broke off after its header. Only
// a status of success proves that the call ran.
func bodyFailure(ctx context.Context, status int, err error) *peridotusher.Failure {
	verdict := peridotusher.MayHaveRun
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		verdict = peridotusher.Ran
	}
	return peridotusher.FailWith(verdict, CauseOf(ctx, peridotusher.CauseEndpointLost), err)
}

// CauseOf returns the cause of a failed call: the deadline or the caller if the
// context ended, else fallback.
func CauseOf(ctx context.Context, fallback peridotusher.Cause) peridotusher.Cause {
	switch ctx.Err() {
	case nil:
		return fallback
	case context.DeadlineExceeded:
		return peridotusher.CauseDeadline
	default:
		return peridotusher.CauseCallerDisconnected
	}
}
