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

// told is what a caller is told, with the run count at the stand-in.
type told struct {
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

// call sends one service call and returns what the caller is told.
func (b *verdictBed) call(method, path, key, body string) told {
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
	got := told{Status: r.Status, Verdict: r.Verdict.String(), Code: r.Code}
	got.Runs = b.service.Stats().Paths[path]
	return got
}

// newKey returns a key of now.
func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return key.String()
}

// TestServiceVerdicts brings about each failure point of a service call.
func TestServiceVerdicts(t *testing.T) {
	t.Parallel()
	b := startVerdicts(t)
	service, keyless := b.service, func(*testing.T) string { return "" }
	oldKey := func(*testing.T) string { return "01890a5d-ac96-774b-bcce-b302099a8057" }
	tests := []struct {
		name   string
		key    func(*testing.T) string // newKey when nil
		method string                  // PUT when empty
		before func(path, key string)
		after  func()
		want   told
		repeat told // of the same call after the fault; no repeat when zero
	}{
		{name: "answered", want: told{200, "ran", "", 1}, repeat: told{200, "ran", "", 1}},
		{name: "no key", key: keyless, want: told{400, "not-run", "idempotency_key_missing", 0}},
		{name: "key beyond the window", key: oldKey, want: told{400, "may-have-run", "idempotency_key_expired", 0}},
		{
			name:   "key of another call",
			before: func(path, key string) { b.call(http.MethodPut, path, key, "another") },
			want:   told{422, "not-run", "idempotency_key_reused", 1},
		},
		{
			name:   "store down",
			before: func(string, string) { b.Store.SetDown(true) }, after: func() { b.Store.SetDown(false) },
			want: told{503, "may-have-run", "store_unavailable", 0}, repeat: told{200, "ran", "", 1},
		},
		{
			name: "store down at the repeat of a call that ran",
			before: func(path, key string) {
				b.call(http.MethodPut, path, key, "waist")
				b.Store.SetDown(true)
			},
			after: func() { b.Store.SetDown(false) },
			want:  told{503, "may-have-run", "store_unavailable", 1}, repeat: told{200, "ran", "", 1},
		},
		{
			name:   "store slow",
			before: func(string, string) { b.Store.SetDelay(4 * time.Second) }, after: func() { b.Store.SetDelay(0) },
			want: told{503, "may-have-run", "store_unavailable", 0},
		},
		{
			name:   "store answer lost",
			before: func(string, string) { b.Store.LoseAnswers(1) },
			want:   told{200, "ran", "", 1}, repeat: told{200, "ran", "", 1},
		},
		{
			name:   "service refuses",
			before: func(string, string) { service.RefuseNew(true) }, after: func() { service.RefuseNew(false) },
			want: told{429, "not-run", "overloaded", 0}, repeat: told{200, "ran", "", 1},
		},
		{
			name: "old fencing number",
			before: func(path, _ string) {
				req, err := http.NewRequest(http.MethodGet, "http://"+service.Listener.Addr().String()+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Fencing-Token", fmt.Sprint(uint64(1)<<60))
				do(b.client, req)
			},
			want: told{503, "not-run", "fencing_number_refused", 1}, // the one run is the read with the later number
		},
		{
			name:   "connection lost before the run",
			before: func(string, string) { service.FailBefore(1) },
			want:   told{502, "may-have-run", "endpoint_lost", 0}, repeat: told{409, "may-have-run", "outcome_unknown", 0},
		},
		{
			name:   "connection lost before the answer",
			before: func(string, string) { service.FailDuring(1) },
			want:   told{502, "may-have-run", "endpoint_lost", 1}, repeat: told{409, "may-have-run", "outcome_unknown", 1},
		},
		{
			name:   "connection lost in the answer",
			before: func(string, string) { service.FailAfter(1) },
			want:   told{502, "ran", "endpoint_lost", 1}, repeat: told{409, "ran", "outcome_not_recorded", 1},
		},
		{
			name:   "service silent",
			before: func(string, string) { service.SetSilent(true) }, after: func() { service.SetSilent(false) },
			want: told{504, "may-have-run", "deadline_exceeded", 1}, repeat: told{409, "may-have-run", "outcome_unknown", 1},
		},
		{
			name: "idempotent, store down", method: http.MethodGet,
			before: func(path, _ string) {
				b.call(http.MethodPut, path, newKey(t), "waist")
				b.Store.SetDown(true)
			},
			after: func() { b.Store.SetDown(false) },
			want:  told{200, "ran", "", 2},
		},
		{
			name: "idempotent, service refuses", method: http.MethodGet,
			before: func(string, string) { service.RefuseNew(true) }, after: func() { service.RefuseNew(false) },
			want: told{429, "not-run", "overloaded", 0},
		},
		{
			name: "idempotent, connection lost", method: http.MethodGet,
			before: func(string, string) { service.FailDuring(1) },
			want:   told{502, "may-have-run", "endpoint_lost", 1},
		},
		{
			name: "idempotent, service silent", method: http.MethodGet,
			before: func(string, string) { service.SetSilent(true) }, after: func() { service.SetSilent(false) },
			want: told{504, "may-have-run", "deadline_exceeded", 1},
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
				t.Errorf("told (-want +got):\n%s", diff)
			}
			if tt.repeat.Status == 0 {
				return
			}
			// A release that the outage delayed is written within moments.
			eventually(t, fmt.Sprintf("the answer %+v of a repeat", tt.repeat), func() bool {
				return cmp.Equal(tt.repeat, b.call(tt.method, path, key, "waist"))
			})
		})
	}
}

// chat sends one chat and returns what the caller is told, with the number of
// requests that the engines began meanwhile.
func (b *verdictBed) chat(key string, tokens int, deadline time.Duration, meanwhile func(*Streamed)) told {
	b.t.Helper()
	before := b.begun()
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
	s := &Streamed{}
	if resp.StatusCode != http.StatusOK {
		body := new(strings.Builder)
		if err := resp.Write(body); err != nil {
			b.t.Fatal(err)
		}
		_, object, _ := strings.Cut(body.String(), "\r\n\r\n")
		s.fail([]byte(object[strings.Index(object, "{") : strings.LastIndex(object, "}")+1]))
	} else {
		first := true
		err := s.read(resp.Body, func() {
			if first && meanwhile != nil {
				meanwhile(s)
			}
			first = false
		})
		if err != nil {
			b.t.Fatalf("the stream ended silently: %v", err)
		}
		if s.Done {
			s.Verdict = "ran"
		}
	}
	return told{resp.StatusCode, s.Verdict, s.Failure, b.begun() - before}
}

// begun returns the number of requests that the engines began.
func (b *verdictBed) begun() int {
	n := 0
	for _, e := range b.Engines {
		for _, count := range e.Stats().Runs {
			n += count
		}
	}
	return n
}

// TestChatVerdicts brings about each failure point of a chat.
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
		name      string
		key       string
		tokens    int
		deadline  time.Duration
		before    func()
		meanwhile func(*Streamed)
		after     func()
		want      told
	}{
		{name: "answered", want: told{200, "ran", "", 1}},
		{name: "rule allows no engine", key: closedKey, want: told{503, "not-run", "no_endpoint_allowed", 0}},
		{
			name:   "store down",
			before: func() { b.Store.SetDown(true) }, after: func() { b.Store.SetDown(false) },
			want: told{200, "ran", "", 1},
		},
		{
			name:   "engines refuse",
			before: func() { each(func(e *testbed.Engine) { e.RefuseNew(true) }) },
			after: func() {
				each(func(e *testbed.Engine) { e.RefuseNew(false) })
				// The owner gives no permit for an engine that refused a moment ago.
				eventually(t, "an answer after the refusals", func() bool { return b.chat(apiKey, 1, 0, nil).Code == "" })
			},
			want: told{429, "not-run", "overloaded", 0},
		},
		{name: "deadline inside the stream", tokens: 500, deadline: 400 * time.Millisecond, want: told{200, "ran", "deadline_exceeded", 1}},
		{
			name:   "crossed events",
			before: func() { each(func(e *testbed.Engine) { e.CrossEvents(2) }) },
			want:   told{200, "ran", "", 1},
		},
		{
			name:      "connections to the engine silent",
			meanwhile: func(*Streamed) { each(func(e *testbed.Engine) { e.SilenceOpen() }) },
			want:      told{200, "ran", "", 1},
		},
		{
			name:   "engine lost, another goes on",
			tokens: 100,
			meanwhile: func(*Streamed) {
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
			want: told{200, "ran", "", 2},
		},
		{
			name:      "last engine lost inside the stream",
			tokens:    100,
			meanwhile: func(*Streamed) { each(func(e *testbed.Engine) { e.SetCrashed() }) },
			want:      told{200, "ran", "", 1}, // code set below
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
			got := b.chat(tt.key, tt.tokens, tt.deadline, tt.meanwhile)
			if tt.after != nil {
				tt.after()
			}
			if strings.HasPrefix(tt.name, "last engine") {
				// Whether the dead engine is still in the tables decides which of the two.
				if got.Code != "endpoint_lost" && got.Code != "no_endpoint_allowed" && got.Code != "overloaded" {
					t.Errorf("code %q", got.Code)
				}
				got.Code = ""
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("told (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCallerGone checks that an engine's work is cancelled soon after its
// caller went away.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	b := startVerdicts(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Streamed{}
	resp, err := newChat("gone", 5000).open(ctx, b.client, b.Routers[0].URL, s)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	running := func() bool { return b.Engines[0].Stats().Running+b.Engines[1].Stats().Running > 0 }
	eventually(t, "a running request", running)
	gone := time.Now()
	cancel()
	eventually(t, "the cancel", func() bool { return !running() })
	t.Logf("cancelled after %s", time.Since(gone).Round(time.Millisecond))
	if n := b.Engines[0].Stats().Cancelled + b.Engines[1].Stats().Cancelled; n != 1 {
		t.Errorf("%d runs were cancelled, want 1", n)
	}
}
