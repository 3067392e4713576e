package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"peridotusher.example/peridotusher"
)

// maxErrorBytes limits how much of an error answer's body is read.
const maxErrorBytes = 64 << 10

// Result is the outcome of a request as its caller sees it.
type Result struct {
	Kind       string // the class, or "call"
	Request    string // the request's id, as assigned by the first router
	Router     string // URL of the last router
	Status     int    // HTTP status, zero without an answer
	Whole      bool   // the answer is complete and the one expected for the request
	Crossed    bool   // the answer holds text of another request
	Told       bool   // the verdict came from a router
	Verdict    peridotusher.Verdict
	Cause      string // the router's cause of a failure
	RetryAfter time.Duration
	Replayed   bool // the recorded outcome of an earlier call
	Text       string
	Detail     string // why the answer is not complete
	Resumes    int    // reconnections made while reading the answer
	Returns    int    // earlier attempts that did not run
	Started    time.Time
	FirstToken time.Duration
	Duration   time.Duration
}

// errorBody is the error object of a failed request.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// fail records a failure without an error answer from a router.
func (r *Result) fail(err error) {
	r.Verdict = peridotusher.MayHaveRun
	r.Detail = err.Error()
}

// recordErrorResponse records the router's error answer.
func (r *Result) recordErrorResponse(resp *http.Response) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		r.fail(err)
		return
	}
	r.recordErrorObject(body)
	if v := resp.Header.Get("X-Verdict"); v != "" {
		r.Told = true
		r.Verdict = peridotusher.ParseVerdict(v)
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
}

// recordErrorObject records an error object.
func (r *Result) recordErrorObject(body []byte) {
	r.Verdict = peridotusher.MayHaveRun
	r.Detail = strings.TrimSpace(string(body))
	var object errorBody
	if json.Unmarshal(body, &object) != nil || object.Error.Verdict == "" {
		return
	}
	r.Told = true
	r.Verdict = peridotusher.ParseVerdict(object.Error.Verdict)
	r.Cause = object.Error.Code
}

// compare records whether the text is the expected one.
func (r *Result) compare(text, want string) {
	r.Text = text
	r.Verdict = peridotusher.Ran
	r.Whole = text == want
	if r.Whole {
		r.Detail, r.Cause, r.Told = "", "", false
		return
	}
	r.Crossed = !strings.HasPrefix(want, text)
	r.Detail = "the answer differs from the one expected for the request"
	if !r.Crossed {
		r.Detail = "the answer was truncated"
	}
}
