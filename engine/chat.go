package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// Headers of a chat call and its answer.
const (
	headerRequest     = "X-Request-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerVersion     = "X-Model-Version"
	headerWork        = "X-Work-Units"
	headerStream      = "X-Stream-Id"
	headerLastEventID = "Last-Event-ID"
)

// Call is one chat completion to run or to resume.
type Call struct {
	Request     peridotusher.Request
	Body        []byte // the caller's chat-completions JSON
	Priority    int
	Version     string        // model version, empty for any
	LastEventID string        // id of the last event received, to resume a stream
	Idle        time.Duration // longest time without data, Options.IdleTimeout if zero

	cancel context.CancelCauseFunc
}

// idleTimeout returns the longest time without data inside the stream.
func (call Call) idleTimeout(opts Options) time.Duration {
	if call.Idle > 0 {
		return call.Idle
	}
	return opts.IdleTimeout
}

// headerTimeout returns the longest wait for the answer's header. A resumed stream
// gets no extra time, because it is running already and need not wait for a slot in
// the engine's batch.
func (call Call) headerTimeout(opts Options) time.Duration {
	if call.Idle > 0 && call.LastEventID != "" {
		return min(call.Idle, opts.HeaderTimeout)
	}
	const factor = 2 // a new stream may wait for a slot in the batch
	if call.Idle > 0 {
		return min(factor*call.Idle, opts.HeaderTimeout)
	}
	return opts.HeaderTimeout
}

// Chat starts or resumes a chat completion. The error is a
// *peridotusher.Failure. Its verdict is NotRun only if nothing reached the
// engine or the engine refused the request before running it, and never for a
// resumed stream.
func (c *Client) Chat(ctx context.Context, address string, call Call) (*Stream, error) {
	body, err := call.engineBody()
	if err != nil {
		return nil, call.fail(peridotusher.NotRun, peridotusher.CauseBadRequest, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	call.cancel = cancel
	req, err := c.chatRequest(ctx, address, call, body)
	if err != nil {
		cancel(nil)
		return nil, call.fail(peridotusher.NotRun, peridotusher.CauseBadRequest, err)
	}
	resp, err := c.roundTrip(req, call)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, c, address, call, resp)
}

// roundTrip sends the request and returns the answer if its status is 200.
func (c *Client) roundTrip(req *http.Request, call Call) (*http.Response, error) {
	ctx := req.Context()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	header := time.AfterFunc(call.headerTimeout(c.opts), func() { call.cancel(errIdle) })
	defer header.Stop()
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		verdict := peridotusher.NotRun
		if connected.Load() {
			verdict = peridotusher.MayHaveRun
		}
		cause := service.CauseOf(ctx, peridotusher.CauseEndpointLost)
		if errors.Is(context.Cause(ctx), errIdle) {
			cause = peridotusher.CauseEndpointLost
		}
		return nil, call.fail(verdict, cause, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	resp.Body.Close()
	if f := service.Refusal(resp); f != nil {
		return nil, call.fail(f.Verdict(), f.Cause(), f).WithRetryAfter(f.RetryAfter())
	}
	return nil, call.fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError,
		errors.Newf("engine answered status %d", resp.StatusCode))
}

// fail returns a Failure. The verdict of a resumed stream is never NotRun, because
// the stream has run before.
func (call Call) fail(v peridotusher.Verdict, cause peridotusher.Cause, err error) *peridotusher.Failure {
	if call.LastEventID != "" && v == peridotusher.NotRun {
		v = peridotusher.MayHaveRun
	}
	return peridotusher.FailWith(v, cause, err)
}

// engineBody returns the caller's JSON with the fields set that the engine needs.
func (call Call) engineBody() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("the body is not a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(strconv.Itoa(call.Priority))
	if call.Request.Chat != "" {
		key, err := json.Marshal(string(call.Request.Chat))
		if err != nil {
			return nil, err
		}
		fields["prompt_cache_key"] = key
	}
	return json.Marshal(fields)
}

// chatRequest returns the HTTP request. It has no GetBody and no
// Idempotency-Key, so that the transport never sends it twice.
func (c *Client) chatRequest(ctx context.Context, address string, call Call, body []byte) (*http.Request, error) {
	url := "http://" + address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(headerRequest, string(call.Request.ID))
	if !call.Request.Deadline.IsZero() {
		left := max(call.Request.Deadline.Sub(c.opts.Clock.Now()), 0)
		req.Header.Set(headerDeadline, strconv.FormatInt(int64(left/time.Millisecond), 10))
	}
	if call.Request.Work > 0 {
		req.Header.Set(headerWork, strconv.Itoa(call.Request.Work))
	}
	if call.Version != "" {
		req.Header.Set(headerVersion, call.Version)
	}
	if call.LastEventID != "" {
		req.Header.Set(headerLastEventID, call.LastEventID)
	}
	return req, nil
}
