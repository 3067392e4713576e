package answertest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// verdictBed is one router with one service and two engines.
type verdictBed struct {
	*testbed.Bed
	t       *testing.T
	client  *http.Client
	service *standin.Service
}

// outcome is what the caller receives, and how often the stand-in ran the request.
type outcome struct {
	Status  int
	Verdict string
	Code    string
	Runs    int
}

func startVerdicts(t *testing.T) *verdictBed {
	t.Helper()
	text := string(document("fencing = ignored", "fencing = checked", "idle = 5s", "idle = 500ms", "retries = 10%", "retries = 100%")) +
		"\n[rule closed]\norganisations = shop-lavrio\nmodels = stylist\nzones = z\n"
	// The first rule that matches decides.
	i := strings.Index(text, "[rule everywhere]")
	j := strings.LastIndex(text, "[rule closed]")
	text = text[:i] + text[j:] + "\n" + text[i:j]
	bed := start(t, testbed.Options{
		Zones: []string{"a"}, RoutersPerZone: 1, EnginesPerZone: 2, Document: []byte(text), ConfigureEngine: slowEngine,
		ConfigureService: func(s *standin.Service) { s.ChecksFence = true },
	})
	return &verdictBed{Bed: bed, t: t, client: newHTTPClient(), service: bed.Services[0]}
}

// call sends one service call and returns what the caller receives.
func (b *verdictBed) call(method, path, key, body string) outcome {
	b.t.Helper()
	req, err := http.NewRequest(method, b.Routers[0].URL+"/services/profiles"+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	r := do(b.client, req)
	if r.Err != nil {
		b.t.Fatal(r.Err)
	}
	got := outcome{Status: r.Status, Verdict: r.Verdict.String(), Code: r.Code}
	got.Runs = b.service.Stats().Paths[path]
	return got
}

// newKey returns an idempotency key with the present time.
func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return key.String()
}

// TestServiceVerdicts causes a failure at each step of a service call and checks the
// verdict and the number of runs.
func TestServiceVerdicts(t *testing.T) {
	t.Parallel()
	b := startVerdicts(t)
	service, noKey := b.service, func(*testing.T) string { return "" }
	expiredKey := func(*testing.T) string { return "01890a5d-ac96-774b-bcce-b302099a8057" }
	tests := []struct {
		name   string
		key    func(*testing.T) string // newKey when nil
		method string                  // PUT when empty
		before func(path, key string)
		after  func()
		want   outcome
		repeat outcome // expected for the same call sent again after the fault; not sent when zero
	}{
		{name: "answered", want: outcome{200, "ran", "", 1}, repeat: outcome{200, "ran", "", 1}},
		{name: "no key", key: noKey, want: outcome{400, "not-run", "idempotency_key_missing", 0}},
		{name: "key older than the window", key: expiredKey, want: outcome{400, "may-have-run", "idempotency_key_expired", 0}},
		{
			name:   "key reused for another call",
			before: func(path, key string) { b.call(http.MethodPut, path, key, "another") },
			want:   outcome{422, "not-run", "idempotency_key_reused", 1},
		},
		{
			name:   "store down",
			before: func(string, string) { b.Store.SetDown(true) }, after: func() { b.Store.SetDown(false) },
			want: outcome{503, "may-have-run", "store_unavailable", 0}, repeat: outcome{200, "ran", "", 1},
		},
		{
			name: "store down at the repeat of a call that ran",
			before: func(path, key string) {
				b.call(http.MethodPut, path, key, "waist")
				b.Store.SetDown(true)
			},
			after: func() { b.Store.SetDown(false) },
			want:  outcome{503, "may-have-run", "store_unavailable", 1}, repeat: outcome{200, "ran", "", 1},
		},
		{
			name:   "store slow",
			before: func(string, string) { b.Store.SetDelay(4 * time.Second) }, after: func() { b.Store.SetDelay(0) },
			want: outcome{503, "may-have-run", "store_unavailable", 0},
		},
		{
			name:   "store answer lost",
			before: func(string, string) { b.Store.LoseAnswers(1) },
			want:   outcome{200, "ran", "", 1}, repeat: outcome{200, "ran", "", 1},
		},
		{
			name:   "service refuses",
			before: func(string, string) { service.RefuseNew(true) }, after: func() { service.RefuseNew(false) },
			want: outcome{429, "not-run", "overloaded", 0}, repeat: outcome{200, "ran", "", 1},
		},
		{
			name: "stale fencing number",
			before: func(path, _ string) {
				req, err := http.NewRequest(http.MethodGet, "http://"+service.Listener.Addr().String()+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Fencing-Token", fmt.Sprint(uint64(1)<<60))
				do(b.client, req)
			},
			want: outcome{503, "not-run", "fencing_number_refused", 1}, // the one run is the read with the later number
		},
		{
			name:   "connection lost before the run",
			before: func(string, string) { service.FailBefore(1) },
			want:   outcome{502, "may-have-run", "endpoint_lost", 0}, repeat: outcome{409, "may-have-run", "outcome_unknown", 0},
		},
		{
			name:   "connection lost before the answer",
			before: func(string, string) { service.FailDuring(1) },
			want:   outcome{502, "may-have-run", "endpoint_lost", 1}, repeat: outcome{409, "may-have-run", "outcome_unknown", 1},
		},
		{
			name:   "connection lost during the answer",
			before: func(string, string) { service.FailAfter(1) },
			want:   outcome{502, "ran", "endpoint_lost", 1}, repeat: outcome{409, "ran", "outcome_not_recorded", 1},
		},
		{
			name:   "service silent",
			before: func(string, string) { service.SetSilent(true) }, after: func() { service.SetSilent(false) },
			want: outcome{504, "may-have-run", "deadline_exceeded", 1}, repeat: outcome{409, "may-have-run", "outcome_unknown", 1},
		},
		{
			name: "idempotent, store down", method: http.MethodGet,
			before: func(path, _ string) {
				b.call(http.MethodPut, path, newKey(t), "waist")
				b.Store.SetDown(true)
			},
			after: func() { b.Store.SetDown(false) },
			want:  outcome{200, "ran", "", 2},
		},
		{
			name: "idempotent, service refuses", method: http.MethodGet,
			before: func(string, string) { service.RefuseNew(true) }, after: func() { service.RefuseNew(false) },
			want: outcome{429, "not-run", "overloaded", 0},
		},
		{
			name: "idempotent, connection lost", method: http.MethodGet,
			before: func(string, string) { service.FailDuring(1) },
			want:   outcome{502, "may-have-run", "endpoint_lost", 1},
		},
		{
			name: "idempotent, service silent", method: http.MethodGet,
			before: func(string, string) { service.SetSilent(true) }, after: func() { service.SetSilent(false) },
			want: outcome{504, "may-have-run", "deadline_exceeded", 1},
		},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := fmt.Sprintf("/profiles/verdict-%d", i)
			if tt.key == nil {
				tt.key = newKey
			}
			if tt.method == "" {
				tt.method = http.MethodPut
			}
			key := tt.key(t)
			if tt.before != nil {
				tt.before(path, key)
			}
			got := b.call(tt.method, path, key, "waist")
			if tt.after != nil {
				tt.after()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if tt.repeat.Status == 0 {
				return
			}
			// A claim release that the outage delayed is written shortly after it.
			eventually(t, fmt.Sprintf("the answer %+v of a repeat", tt.repeat), func() bool {
				return cmp.Equal(tt.repeat, b.call(tt.method, path, key, "waist"))
			})
		})
	}
}

// chat sends one streamed chat request and returns what the caller receives, and the
// number of requests that the engines started during it. It calls duringStream at the
// first line of the stream.
func (b *verdictBed) chat(key string, tokens int, deadline time.Duration, duringStream func(*StreamedAnswer)) outcome {
	b.t.Helper()
	before := b.startedRequests()
	c := newChat(newKey(b.t), tokens)
	req, err := http.NewRequest(http.MethodPost, b.Routers[0].URL+"/v1/chat/completions", strings.NewReader(string(c.body(true))))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if deadline > 0 {
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := b.client.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	s := &StreamedAnswer{}
	if resp.StatusCode != http.StatusOK {
		body := new(strings.Builder)
		if err := resp.Write(body); err != nil {
			b.t.Fatal(err)
		}
		_, object, _ := strings.Cut(body.String(), "\r\n\r\n")
		s.recordError([]byte(object[strings.Index(object, "{") : strings.LastIndex(object, "}")+1]))
	} else {
		first := true
		err := s.read(resp.Body, func() {
			if first && duringStream != nil {
				duringStream(s)
			}
			first = false
		})
		if err != nil {
			b.t.Fatalf("the stream ended without [DONE] and without an error event: %v", err)
		}
		if s.Done {
			s.Verdict = "ran"
		}
	}
	return outcome{resp.StatusCode, s.Verdict, s.Failure, b.startedRequests() - before}
}

// startedRequests returns the number of requests that the engines have started.
func (b *verdictBed) startedRequests() int {
	n := 0
	for _, e := range b.Engines {
		for _, count := range e.Stats().Runs {
			n += count
		}
	}
	return n
}

// TestChatVerdicts causes a failure at each step of a chat request and checks the verdict
// and the number of runs.
func TestChatVerdicts(t *testing.T) {
	t.Parallel()
	b := startVerdicts(t)
	const closedKey = "kalimera-shop-lavrio-example-key"
	each := func(fn func(*testbed.Engine)) {
		for _, e := range b.Engines {
			fn(e)
		}
	}
	tests := []struct {
		name         string
		key          string
		tokens       int
		deadline     time.Duration
		before       func()
		duringStream func(*StreamedAnswer)
		after        func()
		want         outcome
	}{
		{name: "answered", want: outcome{200, "ran", "", 1}},
		{name: "rule allows no engine", key: closedKey, want: outcome{503, "not-run", "no_endpoint_allowed", 0}},
		{
			name:   "store down",
			before: func() { b.Store.SetDown(true) }, after: func() { b.Store.SetDown(false) },
			want: outcome{200, "ran", "", 1},
		},
		{
			name:   "engines refuse",
			before: func() { each(func(e *testbed.Engine) { e.RefuseNew(true) }) },
			after: func() {
				each(func(e *testbed.Engine) { e.RefuseNew(false) })
				// For a short time the owner grants no permit for an engine that has refused a request.
				eventually(t, "an answer after the refusals", func() bool { return b.chat(apiKey, 1, 0, nil).Code == "" })
			},
			want: outcome{429, "not-run", "overloaded", 0},
		},
		{name: "deadline exceeded during the stream", tokens: 500, deadline: 400 * time.Millisecond, want: outcome{200, "ran", "deadline_exceeded", 1}},
		{
			name:   "crossed events",
			before: func() { each(func(e *testbed.Engine) { e.CrossEvents(2) }) },
			want:   outcome{200, "ran", "", 1},
		},
		{
			name:         "connections to the engine silent",
			duringStream: func(*StreamedAnswer) { each(func(e *testbed.Engine) { e.SilenceOpen() }) },
			want:         outcome{200, "ran", "", 1},
		},
		{
			name:   "engine lost, another resumes",
			tokens: 100,
			duringStream: func(*StreamedAnswer) {
				eventually(t, "a running request", func() bool {
					for _, e := range b.Engines {
						if e.Stats().Running > 0 {
							e.SetCrashed()
							return true
						}
					}
					return false
				})
			},
			want: outcome{200, "ran", "", 2},
		},
		{
			name:         "last engine lost during the stream",
			tokens:       100,
			duringStream: func(*StreamedAnswer) { each(func(e *testbed.Engine) { e.SetCrashed() }) },
			want:         outcome{200, "ran", "", 1}, // the code is checked below
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.key == "" {
				tt.key = apiKey
			}
			if tt.tokens == 0 {
				tt.tokens = streamTokens
			}
			if tt.before != nil {
				tt.before()
			}
			got := b.chat(tt.key, tt.tokens, tt.deadline, tt.duringStream)
			if tt.after != nil {
				tt.after()
			}
			if strings.HasPrefix(tt.name, "last engine") {
				// The code depends on whether the routers still list the crashed engines.
				if got.Code != "endpoint_lost" && got.Code != "no_endpoint_allowed" && got.Code != "overloaded" {
					t.Errorf("code %q", got.Code)
				}
				got.Code = ""
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDisconnectCancelsEngine checks that the engine's work is canceled soon after its
// caller disconnects.
func TestDisconnectCancelsEngine(t *testing.T) {
	t.Parallel()
	b := startVerdicts(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &StreamedAnswer{}
	resp, err := newChat("gone", 5000).open(ctx, b.client, b.Routers[0].URL, s)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	running := func() bool { return b.Engines[0].Stats().Running+b.Engines[1].Stats().Running > 0 }
	eventually(t, "a running request", running)
	disconnected := time.Now()
	cancel()
	eventually(t, "the cancellation", func() bool { return !running() })
	t.Logf("canceled after %s", time.Since(disconnected).Round(time.Millisecond))
	if n := b.Engines[0].Stats().Cancelled + b.Engines[1].Stats().Cancelled; n != 1 {
		t.Errorf("%d runs were canceled, want 1", n)
	}
}
