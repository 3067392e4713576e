package callers

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
)

// Caller sends requests on behalf of one client of the fleet.
type Caller struct {
	Balancer   *Balancer
	Key        string // the organisation's bearer key
	Model      string
	Rand       *rand.Rand
	HTTP       *http.Client // Client when nil
	MaxRetries int          // maximum number of retries of a request that has not run
}

// Call is one request to a plain service.
type Call struct {
	Method string
	Path   string // below the router's URL
	Body   string
	Key    string // the Idempotency-Key, or empty
	Want   string // expected body of the answer
}

// Call sends one request to a plain service and checks the answer's body.
func (c *Caller) Call(ctx context.Context, call Call) Result {
	return c.retryNotRun(ctx, "call", func(r *Result) { c.callOnce(ctx, r, call) })
}

// retryNotRun makes a request, and retries it after the router's Retry-After
// when the router reports that the request has not run.
func (c *Caller) retryNotRun(ctx context.Context, kind string, attempt func(*Result)) Result {
	started := time.Now()
	for retries := 0; ; retries++ {
		r := Result{Kind: kind, Started: started, Returns: retries}
		attempt(&r)
		r.Duration = time.Since(started)
		retry := r.Told && r.Verdict == peridotusher.NotRun && r.RetryAfter > 0 && retries < c.MaxRetries
		if !retry || !pause.For(ctx, r.RetryAfter) {
			return r
		}
	}
}

func (c *Caller) callOnce(ctx context.Context, r *Result, call Call) {
	headers := map[string]string{}
	if call.Key != "" {
		headers["Idempotency-Key"] = call.Key
	}
	resp, err := c.send(ctx, r, call.Method, call.Path, []byte(call.Body), headers)
	if err != nil {
		r.fail(err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.recordErrorResponse(resp)
		return
	}
	r.Replayed = resp.Header.Get("Idempotent-Replayed") != ""
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		r.fail(err)
		return
	}
	r.compare(string(got), call.Want)
}

// Pause waits for a random time between d/2 and 3d/2, and returns false when ctx ends first.
func (c *Caller) Pause(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d/2+time.Duration(c.Rand.Int64N(int64(d))))
}

// send sends a request to a ready router and records the router, status and request id.
func (c *Caller) send(ctx context.Context, r *Result, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	url, err := c.Balancer.Choose(ctx, c.Rand)
	if err != nil {
		return nil, err
	}
	r.Router = url
	req, err := http.NewRequestWithContext(ctx, method, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, err
	}
	r.Status = resp.StatusCode
	if r.Request == "" {
		r.Request = resp.Header.Get("X-Request-Id")
	}
	return resp, nil
}

func (c *Caller) client() *http.Client {
	if c.HTTP == nil {
		return Client
	}
	return c.HTTP
}
