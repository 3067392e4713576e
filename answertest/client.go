package answertest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// apiKey belongs to an organisation of the example document.
	apiKey = "kalimera-shop-megara-example-key"
	// attemptTimeout limits how long a caller waits for one answer.
	attemptTimeout = 4 * time.Second
)

// newHTTPClient returns a client that opens a connection for each request, so
// that one lost connection costs one attempt.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: true,
	}}
}

// Reply is what a caller received for one attempt.
type Reply struct {
	Err      error // no answer arrived
	Status   int
	Verdict  peridotusher.Verdict
	Code     string
	Body     []byte
	Header   http.Header
	Duration time.Duration
}

// OK returns whether the call succeeded and was answered with its result.
func (r Reply) OK() bool { return r.Err == nil && r.Status == http.StatusOK }

// NotRun returns whether the answer reports that the attempt did not run.
func (r Reply) NotRun() bool {
	return r.Err == nil && !r.OK() && r.Verdict == peridotusher.NotRun
}

// Final returns whether a further attempt cannot give a more certain outcome.
func (r Reply) Final() bool {
	return r.OK() || r.Code == string(peridotusher.CauseOutcomeUnknown) || r.Code == string(peridotusher.CauseOutcomeLost)
}

// errorAnswer is the error object of a failed answer.
type errorAnswer struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// save sends one call that is not idempotent.
func save(ctx context.Context, client *http.Client, router, path, key string, body []byte) Reply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, router+"/services/profiles"+path, bytes.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	// Without GetBody the test's own transport cannot retry the call.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return do(client, req)
}

// do sends a request and reads the complete answer.
func do(client *http.Client, req *http.Request) Reply {
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err, Duration: time.Since(started)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	reply := Reply{
		Err:      err,
		Status:   resp.StatusCode,
		Verdict:  peridotusher.ParseVerdict(resp.Header.Get("X-Verdict")),
		Body:     body,
		Header:   resp.Header,
		Duration: time.Since(started),
	}
	var failed errorAnswer
	if resp.StatusCode != http.StatusOK && json.Unmarshal(body, &failed) == nil {
		reply.Code = failed.Error.Code
	}
	return reply
}
