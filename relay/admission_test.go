package relay

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// testAdmission decides on requests by a function, and records requests and releases.
type testAdmission struct {
	decide func(ctx context.Context, n int, r admission.Request) admission.Grant

	mu       sync.Mutex
	requests []admission.Request
	released []admission.Usage
}

func (a *testAdmission) Acquire(ctx context.Context, r admission.Request) admission.Grant {
	a.mu.Lock()
	n := len(a.requests)
	a.requests = append(a.requests, r)
	a.mu.Unlock()
	g := a.decide(ctx, n, r)
	g.Release = func(u admission.Usage) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.released = append(a.released, u)
	}
	return g
}

// calls returns the requests and the released usages so far.
func (a *testAdmission) calls() ([]admission.Request, []admission.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests, a.released
}

// hashOf returns the short id of a replica of the fixture.
func hashOf(id string) uint32 { return replicas.HashOf(id, 0) }

// TestAdmission has a coordinator decide on requests to scripted replicas, and checks the answer,
// the replicas that got the request and the usages that were reported.
func TestAdmission(t *testing.T) {
	const failed = "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfail"
	grant := func(ids ...string) func(context.Context, int, admission.Request) admission.Grant {
		return func(_ context.Context, n int, _ admission.Request) admission.Grant {
			return admission.Grant{State: admission.Granted, Replica: hashOf(ids[n])}
		}
	}
	state := func(g admission.Grant) func(context.Context, int, admission.Request) admission.Grant {
		return func(context.Context, int, admission.Request) admission.Grant { return g }
	}
	usage := func(id string, failed bool) admission.Usage {
		return admission.Usage{Replica: hashOf(id), Failed: failed}
	}
	tests := []struct {
		name     string
		route    routing.Route
		scripts  []script
		decide   func(context.Context, int, admission.Request) admission.Grant
		status   int
		retry    string
		at       []string // replicas that got the request
		excluded [][]uint32
		released []admission.Usage
	}{
		{"granted", nonIdempotent, []script{respond(okAnswer, true), respond(okAnswer, true)}, grant("b"), 200, "", []string{"b"}, [][]uint32{nil}, []admission.Usage{usage("b", false)}},
		{"refused", nonIdempotent, []script{respond(okAnswer, true)}, state(admission.Grant{State: admission.Refused, RetryAfter: 750 * time.Millisecond}), 503, "0.751", nil, [][]uint32{nil}, nil},
		{"bypassed", nonIdempotent, []script{respond(okAnswer, true)}, state(admission.Grant{State: admission.Bypassed}), 200, "", []string{"a"}, [][]uint32{nil}, nil},
		{"an unknown replica", nonIdempotent, []script{respond(okAnswer, true)}, grant("x"), 200, "", []string{"a"}, [][]uint32{nil}, []admission.Usage{{}}},
		{"an error, not idempotent", nonIdempotent, []script{respond(failed, true)}, grant("a"), 500, "", []string{"a"}, [][]uint32{nil}, []admission.Usage{usage("a", true)}},
		{"an error, retried", idempotent, []script{respond(failed, true), respond(okAnswer, true)}, grant("a", "b"), 200, "", []string{"a", "b"},
			[][]uint32{nil, {hashOf("a")}}, []admission.Usage{usage("a", true), usage("b", false)}},
		{"the retry is granted at the replica that failed", idempotent, []script{respond(failed, true), respond(okAnswer, true)}, grant("a", "a"), 200, "", []string{"a", "b"},
			[][]uint32{nil, {hashOf("a")}}, []admission.Usage{usage("a", true), {}}},
		{"not connected", nonIdempotent, []script{nil, respond(okAnswer, true)}, grant("a", "b"), 200, "", []string{"b"},
			[][]uint32{nil, {hashOf("a")}}, []admission.Usage{usage("a", true), usage("b", false)}},
		{"a request that is not idempotent is not sent twice", nonIdempotent, []script{reset(""), respond(okAnswer, true)}, grant("a", "b"), 502, "", []string{"a"},
			[][]uint32{nil}, []admission.Usage{usage("a", true)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.scripts...)
			a := &testAdmission{decide: tt.decide}
			b.proxy.Admission, b.proxy.AlwaysAdmit = a, true
			resp, _, complete := b.send(get(""))
			if resp == nil || !complete || resp.StatusCode != tt.status || resp.Header.Get("Retry-After") != tt.retry {
				t.Fatalf("answer = %v, want status %d with Retry-After %q", resp, tt.status, tt.retry)
			}
			b.awaitIdle(1)
			requests, released := a.calls()
			var excluded [][]uint32
			for _, r := range requests {
				excluded = append(excluded, r.Exclude)
			}
			if diff := cmp.Diff(tt.excluded, excluded); diff != "" {
				t.Errorf("excluded replicas (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.released, released, cmpopts.IgnoreFields(admission.Usage{}, "Took")); diff != "" {
				t.Errorf("usages (-want +got):\n%s", diff)
			}
			var at []string
			for _, r := range b.requests() {
				at = append(at, r.replica)
			}
			if diff := cmp.Diff(tt.at, at); diff != "" {
				t.Errorf("replicas that got the request (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmissionRequest checks the description of a request that is sent to the coordinator.
func TestAdmissionRequest(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
	a := &testAdmission{decide: func(context.Context, int, admission.Request) admission.Grant {
		return admission.Grant{State: admission.Bypassed}
	}}
	b.proxy.Admission, b.proxy.AlwaysAdmit = a, true
	ask := func(raw string) admission.Request {
		b.send(raw)
		requests, _ := a.calls()
		return requests[len(requests)-1]
	}
	r := ask(get(""))
	want := admission.Request{Service: "s", Organisation: "shop", Zone: "a", Fingerprint: r.Fingerprint}
	if diff := cmp.Diff(want, r, cmpopts.IgnoreFields(admission.Request{}, "LatencyTarget", "Deadline")); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
	if r.LatencyTarget > time.Second || r.LatencyTarget < 900*time.Millisecond || r.Deadline > 2*time.Second || r.Deadline < 1900*time.Millisecond {
		t.Errorf("left = %v, deadline = %v; want slightly less than those of the route", r.LatencyTarget, r.Deadline)
	}
	if r := ask(strings.Replace(get(""), "Patience: 2s", "Patience: 300ms", 1)); r.LatencyTarget > 300*time.Millisecond || r.Deadline > 300*time.Millisecond {
		t.Errorf("left = %v, deadline = %v; want at most the client's 300ms", r.LatencyTarget, r.Deadline)
	}
	again := ask(strings.Replace(get(""), "Id: 1", "Id: 2", 1))
	other := ask(strings.Replace(get(""), "GET /p/", "GET /p/other", 1))
	body := ask(post("Content-Length: 1\r\n", "x"))
	if again.Fingerprint != r.Fingerprint || other.Fingerprint == r.Fingerprint || body.Fingerprint == ask(post("Content-Length: 1\r\n", "y")).Fingerprint {
		t.Error("fingerprints do not distinguish requests by method, target and body only")
	}
}

// TestRequestsThatUseAdmission guards against requests for a slot where admission does not apply:
// for models, for prompts, and, unless AlwaysAdmit is set, for services without a replica that
// reports its pace.
func TestRequestsThatUseAdmission(t *testing.T) {
	paced := strings.Replace(okAnswer, "Signature", "Pace: 2\r\nSignature", 1)
	tests := []struct {
		name     string
		route    routing.Route
		answer   string
		always   bool
		model    bool
		acquired int // slots requested for two requests
	}{
		{"no pace reported", nonIdempotent, okAnswer, false, false, 0},
		{"a pace reported", nonIdempotent, paced, false, false, 1},
		{"always", nonIdempotent, okAnswer, true, false, 2},
		{"a model", nonIdempotent, paced, true, true, 0},
		{"prompts", streaming, paced, true, false, 0},
	}
	for _, tt := range tests {
		b := newFixture(t, tt.route, respond(tt.answer, true))
		b.proxy.Dialect = pacedDialect{}
		b.proxy.Current.Load().Services = map[string]*routing.Service{"s": {Name: "s", RunsModel: tt.model}}
		a := &testAdmission{decide: func(context.Context, int, admission.Request) admission.Grant {
			return admission.Grant{State: admission.Granted, Replica: hashOf("a")}
		}}
		b.proxy.Admission, b.proxy.AlwaysAdmit = a, tt.always
		for range 2 {
			b.send(get(""))
		}
		if requests, _ := a.calls(); len(requests) != tt.acquired {
			t.Errorf("%s: %d of 2 requests asked for a slot, want %d", tt.name, len(requests), tt.acquired)
		}
	}
}

// TestClientDisconnectEndsAdmissionWait has a client disconnect while its request waits for a
// slot: the wait ends, and no replica gets the request.
func TestClientDisconnectEndsAdmissionWait(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
	waiting, canceled := make(chan struct{}), make(chan struct{})
	a := &testAdmission{decide: func(ctx context.Context, _ int, _ admission.Request) admission.Grant {
		close(waiting)
		<-ctx.Done()
		close(canceled)
		return admission.Grant{State: admission.Refused, RetryAfter: time.Second}
	}}
	b.proxy.Admission, b.proxy.AlwaysAdmit = a, true
	c := b.dial()
	if _, err := c.Write([]byte(get(""))); err != nil {
		t.Fatal(err)
	}
	<-waiting
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-canceled:
	case <-time.After(time.Second):
		t.Fatal("the request still waits 1 s after its client disconnected")
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d requests reached a replica", n)
	}
}

// TestStopDuringAdmissionWait stops the router while a request waits for a slot: the request is
// still answered.
func TestStopDuringAdmissionWait(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
	waiting, decided := make(chan struct{}), make(chan struct{})
	b.proxy.Admission, b.proxy.AlwaysAdmit = &testAdmission{decide: func(context.Context, int, admission.Request) admission.Grant {
		close(waiting)
		<-decided
		return admission.Grant{State: admission.Granted, Replica: hashOf("a")}
	}}, true
	c := b.dial()
	b.group.Go(func() error {
		<-waiting
		b.proxy.Stop(StopPolicy{AcceptAllUntil: time.Now(), AnswerBy: time.Now().Add(time.Second)})
		close(decided)
		return nil
	})
	if resp, body, complete := b.sendOn(c, bufio.NewReader(c), get("")); resp == nil || resp.StatusCode != 200 || body != "hello" || !complete {
		t.Errorf("answer = %v %q, want that of the replica", resp, body)
	}
}

// TestAdmissionCounters has one request granted a slot and one refused.
func TestAdmissionCounters(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
	b.proxy.Admission, b.proxy.AlwaysAdmit = &testAdmission{decide: func(_ context.Context, n int, _ admission.Request) admission.Grant {
		if n > 0 {
			return admission.Grant{State: admission.Refused, RetryAfter: time.Second}
		}
		return admission.Grant{State: admission.Granted, Replica: hashOf("a")}
	}}, true
	b.send(get(""))
	b.send(get(""))
	var out bytes.Buffer
	b.counters.WritePrometheus(&out)
	for _, want := range []string{
		`peridotusher_admission_total{route="r",state="granted",cause=""} 1`,
		`peridotusher_admission_total{route="r",state="refused",cause=""} 1`,
		`peridotusher_admission_retry_after_seconds_count{route="r"} 1`,
		`peridotusher_placed_total{route="r",reason="granted"} 1`,
		`peridotusher_requests_total{route="r",outcome="overload"} 1`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the metrics lack %s:\n%s", want, out.String())
		}
	}
}

// pacedDialect is testDialect with a header for the pace.
type pacedDialect struct{ testDialect }

func (d pacedDialect) ReadReply(resp *http.Response) Reply {
	reply := d.testDialect.ReadReply(resp)
	if pace, err := strconv.ParseFloat(resp.Header.Get("Pace"), 64); err == nil {
		reply.Running, reply.Slots, reply.Pace = 1, 4, pace
	}
	return reply
}
