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

// testAdmission decides on requests by a function, and keeps what it is told.
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

func (a *testAdmission) told() ([]admission.Request, []admission.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests, a.released
}

// hashOf returns the short id of a bed's replica.
func hashOf(id string) uint32 { return replicas.HashOf(id, 0) }

// TestAdmission has a coordinator decide on requests to scripted replicas.
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
		{"granted", once, []script{say(fine, true), say(fine, true)}, grant("b"), 200, "", []string{"b"}, [][]uint32{nil}, []admission.Usage{usage("b", false)}},
		{"refused", once, []script{say(fine, true)}, state(admission.Grant{State: admission.Refused, RetryAfter: 750 * time.Millisecond}), 503, "0.751", nil, [][]uint32{nil}, nil},
		{"bypassed", once, []script{say(fine, true)}, state(admission.Grant{State: admission.Bypassed}), 200, "", []string{"a"}, [][]uint32{nil}, nil},
		{"an unknown replica", once, []script{say(fine, true)}, grant("x"), 200, "", []string{"a"}, [][]uint32{nil}, []admission.Usage{{}}},
		{"an error, once", once, []script{say(failed, true)}, grant("a"), 500, "", []string{"a"}, [][]uint32{nil}, []admission.Usage{usage("a", true)}},
		{"an error, repeated", repeatable, []script{say(failed, true), say(fine, true)}, grant("a", "b"), 200, "", []string{"a", "b"},
			[][]uint32{nil, {hashOf("a")}}, []admission.Usage{usage("a", true), usage("b", false)}},
		{"the repeat is granted where it failed", repeatable, []script{say(failed, true), say(fine, true)}, grant("a", "a"), 200, "", []string{"a", "b"},
			[][]uint32{nil, {hashOf("a")}}, []admission.Usage{usage("a", true), {}}},
		{"not connected", once, []script{nil, say(fine, true)}, grant("a", "b"), 200, "", []string{"b"},
			[][]uint32{nil, {hashOf("a")}}, []admission.Usage{usage("a", true), usage("b", false)}},
		{"a request that runs once is not sent twice", once, []script{reset(""), say(fine, true)}, grant("a", "b"), 502, "", []string{"a"},
			[][]uint32{nil}, []admission.Usage{usage("a", true)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, tt.route, tt.scripts...)
			a := &testAdmission{decide: tt.decide}
			b.front.Admission, b.front.AdmitAlways = a, true
			resp, _, whole := b.ask(get(""))
			if resp == nil || !whole || resp.StatusCode != tt.status || resp.Header.Get("Retry-After") != tt.retry {
				t.Fatalf("answer = %v, want status %d with Retry-After %q", resp, tt.status, tt.retry)
			}
			b.awaitIdle(1)
			requests, released := a.told()
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

// TestAdmissionRequest checks what a coordinator is told of a request.
func TestAdmissionRequest(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	a := &testAdmission{decide: func(context.Context, int, admission.Request) admission.Grant {
		return admission.Grant{State: admission.Bypassed}
	}}
	b.front.Admission, b.front.AdmitAlways = a, true
	ask := func(raw string) admission.Request {
		b.ask(raw)
		requests, _ := a.told()
		return requests[len(requests)-1]
	}
	r := ask(get(""))
	want := admission.Request{Service: "s", Organisation: "shop", Zone: "a", Fingerprint: r.Fingerprint}
	if diff := cmp.Diff(want, r, cmpopts.IgnoreFields(admission.Request{}, "LatencyTarget", "Deadline")); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
	if r.LatencyTarget > time.Second || r.LatencyTarget < 900*time.Millisecond || r.Deadline > 2*time.Second || r.Deadline < 1900*time.Millisecond {
		t.Errorf("left = %v, deadline = %v; want those of the route less little", r.LatencyTarget, r.Deadline)
	}
	if r := ask(strings.Replace(get(""), "Patience: 2s", "Patience: 300ms", 1)); r.LatencyTarget > 300*time.Millisecond || r.Deadline > 300*time.Millisecond {
		t.Errorf("left = %v, deadline = %v; want at most the client's 300ms", r.LatencyTarget, r.Deadline)
	}
	again := ask(strings.Replace(get(""), "Id: 1", "Id: 2", 1))
	other := ask(strings.Replace(get(""), "GET /p/", "GET /p/other", 1))
	body := ask(post("Content-Length: 1\r\n", "x"))
	if again.Fingerprint != r.Fingerprint || other.Fingerprint == r.Fingerprint || body.Fingerprint == ask(post("Content-Length: 1\r\n", "y")).Fingerprint {
		t.Error("fingerprints do not tell requests apart by what they ask for")
	}
}

// TestAdmissionWhereItApplies has services whose requests are not shared: none may ask, so
// that they are served as without a coordinator.
func TestAdmissionWhereItApplies(t *testing.T) {
	paced := strings.Replace(fine, "Signature", "Pace: 2\r\nSignature", 1)
	tests := []struct {
		name   string
		route  routing.Route
		answer string
		always bool
		model  bool
		asked  int // by two requests
	}{
		{"no pace is told", once, fine, false, false, 0},
		{"a pace is told", once, paced, false, false, 1},
		{"always", once, fine, true, false, 2},
		{"a model", once, paced, true, true, 0},
		{"prompts", stream, paced, true, false, 0},
	}
	for _, tt := range tests {
		b := newBed(t, tt.route, say(tt.answer, true))
		b.front.Dialect = pacedDialect{}
		b.front.Current.Load().Services = map[string]*routing.Service{"s": {Name: "s", RunsModel: tt.model}}
		a := &testAdmission{decide: func(context.Context, int, admission.Request) admission.Grant {
			return admission.Grant{State: admission.Granted, Replica: hashOf("a")}
		}}
		b.front.Admission, b.front.AdmitAlways = a, tt.always
		for range 2 {
			b.ask(get(""))
		}
		if requests, _ := a.told(); len(requests) != tt.asked {
			t.Errorf("%s: %d of 2 requests asked for a place, want %d", tt.name, len(requests), tt.asked)
		}
	}
}

// TestClientLeavesTheQueue has a client that leaves while its request waits for a place:
// the wait ends, and no replica gets the request.
func TestClientLeavesTheQueue(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	waiting, left := make(chan struct{}), make(chan struct{})
	a := &testAdmission{decide: func(ctx context.Context, _ int, _ admission.Request) admission.Grant {
		close(waiting)
		<-ctx.Done()
		close(left)
		return admission.Grant{State: admission.Refused, RetryAfter: time.Second}
	}}
	b.front.Admission, b.front.AdmitAlways = a, true
	c := b.dial()
	if _, err := c.Write([]byte(get(""))); err != nil {
		t.Fatal(err)
	}
	<-waiting
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Fatal("the request still waits 1 s after its client left")
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d requests reached a replica", n)
	}
}

// TestStopLeavesTheQueue stops the front while a request waits for a place: it is
// answered.
func TestStopLeavesTheQueue(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	waiting, decided := make(chan struct{}), make(chan struct{})
	b.front.Admission, b.front.AdmitAlways = &testAdmission{decide: func(context.Context, int, admission.Request) admission.Grant {
		close(waiting)
		<-decided
		return admission.Grant{State: admission.Granted, Replica: hashOf("a")}
	}}, true
	c := b.dial()
	b.group.Go(func() error {
		<-waiting
		b.front.Stop(Ending{AllUntil: time.Now(), By: time.Now().Add(time.Second)})
		close(decided)
		return nil
	})
	if resp, body, whole := b.askOn(c, bufio.NewReader(c), get("")); resp == nil || resp.StatusCode != 200 || body != "hello" || !whole {
		t.Errorf("answer = %v %q, want that of the replica", resp, body)
	}
}

// TestAdmissionCounters has a request granted a place and one refused.
func TestAdmissionCounters(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	b.front.Admission, b.front.AdmitAlways = &testAdmission{decide: func(_ context.Context, n int, _ admission.Request) admission.Grant {
		if n > 0 {
			return admission.Grant{State: admission.Refused, RetryAfter: time.Second}
		}
		return admission.Grant{State: admission.Granted, Replica: hashOf("a")}
	}}, true
	b.ask(get(""))
	b.ask(get(""))
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
			t.Errorf("the counters lack %s:\n%s", want, out.String())
		}
	}
}

// pacedDialect is the test's dialect with a header for the pace.
type pacedDialect struct{ testDialect }

func (d pacedDialect) Reply(resp *http.Response) Reply {
	reply := d.testDialect.Reply(resp)
	if pace, err := strconv.ParseFloat(resp.Header.Get("Pace"), 64); err == nil {
		reply.Running, reply.Slots, reply.Pace = 1, 4, pace
	}
	return reply
}
