package callers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

const testRequest = "request-1"

// outcome is the part of a Result that does not depend on time.
type outcome struct {
	Whole, Crossed, Told bool
	Verdict              peridotusher.Verdict
	Resumes              int
}

// startRouter starts a server that answers each request with the next handler, and
// returns a caller of it.
func startRouter(t *testing.T, answers ...http.HandlerFunc) *Caller {
	t.Helper()
	next := 0
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", testRequest)
		answer := answers[next]
		next++
		answer(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &Caller{
		Balancer: &Balancer{URLs: func() []string { return []string{server.URL} }},
		Model:    "stylist",
		Rand:     rand.New(rand.NewPCG(1, 1)),
	}
}

// events splits the text into three events and writes those from index from up to
// index to, exclusive, and then last.
func events(text string, from, to int, last string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		parts := []string{text[:3], text[3:6], text[6:]}
		for i := from; i < to; i++ {
			data, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": map[string]string{"content": parts[i]}}}})
			fmt.Fprintf(w, "id: s:%d\ndata: %s\n\n", i, data)
		}
		fmt.Fprint(w, last)
	}
}

func TestStreamedAnswers(t *testing.T) {
	q := Completion{Messages: []Message{{Role: "user", Content: "hello"}}, Tokens: 4, Stream: true, Resumes: 1}
	text, err := expectedAnswer(testRequest, q)
	if err != nil {
		t.Fatal(err)
	}
	other := strings.Repeat("x", len(text))
	const end = "data: [DONE]\n\n"
	const failure = "event: error\ndata: {\"error\":{\"message\":\"lost\",\"code\":\"endpoint_lost\",\"verdict\":\"ran\"}}\n\n"
	tests := []struct {
		name    string
		answers []http.HandlerFunc
		want    outcome
	}{
		{"complete", []http.HandlerFunc{events(text, 0, 3, end)}, outcome{Whole: true, Verdict: peridotusher.Ran}},
		{"missing part", []http.HandlerFunc{events(text, 0, 2, end)}, outcome{Verdict: peridotusher.Ran}},
		{"another's text", []http.HandlerFunc{events(other, 0, 3, end)}, outcome{Crossed: true, Verdict: peridotusher.Ran}},
		{"resumed", []http.HandlerFunc{events(text, 0, 1, ""), events(text, 1, 3, end)}, outcome{Whole: true, Verdict: peridotusher.Ran, Resumes: 1}},
		{"resumed with a repetition", []http.HandlerFunc{events(text, 0, 1, ""), events(text, 0, 3, end)}, outcome{Crossed: true, Verdict: peridotusher.Ran, Resumes: 1}},
		{"error event", []http.HandlerFunc{events(text, 0, 0, failure)}, outcome{Told: true, Verdict: peridotusher.Ran}},
		{"truncated twice", []http.HandlerFunc{events(text, 0, 1, ""), events(text, 1, 2, "")}, outcome{Verdict: peridotusher.MayHaveRun, Resumes: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startRouter(t, tt.answers...).Complete(t.Context(), q)
			got := outcome{r.Whole, r.Crossed, r.Told, r.Verdict, r.Resumes}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCallReceivesVerdict(t *testing.T) {
	c := startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := c.Call(t.Context(), Call{Method: http.MethodPost, Path: "/services/profiles/1"})
	if r.Duration <= 0 {
		t.Errorf("duration = %v, want more than 0", r.Duration)
	}
	want := outcome{Told: true, Verdict: peridotusher.NotRun}
	if diff := cmp.Diff(want, outcome{r.Whole, r.Crossed, r.Told, r.Verdict, r.Resumes}); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func TestNotRunRequestIsRetried(t *testing.T) {
	refuse := func(verdict, after string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Verdict", verdict)
			w.Header().Set("Retry-After", after)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	serve := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "saved") }
	type got struct {
		Whole   bool
		Returns int
	}
	tests := []struct {
		name    string
		answers []http.HandlerFunc
		want    got
	}{
		{"served when retried", []http.HandlerFunc{refuse("not-run", "1"), serve}, got{true, 1}},
		{"refused again when retried", []http.HandlerFunc{refuse("not-run", "1"), refuse("not-run", "1")}, got{false, 1}},
		{"no Retry-After", []http.HandlerFunc{refuse("not-run", "")}, got{}},
		{"may have run", []http.HandlerFunc{refuse("may-have-run", "1")}, got{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startRouter(t, tt.answers...)
			c.MaxRetries = 1
			r := c.Call(t.Context(), Call{Method: http.MethodPost, Path: "/services/profiles/1", Want: "saved"})
			if diff := cmp.Diff(tt.want, got{r.Whole, r.Returns}); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
