package relay

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/eventlog"
	"peridotusher.example/peridotusher/routing"
)

// TestCauseFromLogs causes failures and checks that the logs alone show their causes.
func TestCauseFromLogs(t *testing.T) {
	broken := streamHead + chunk(event(1)) + chunk(event(2)+"id: 3\nda")
	tests := []struct {
		name    string
		route   routing.Route
		scripts []script
		request string
		lines   []string // kind, and words that show the cause
	}{
		{
			name: "refused though a replica looks free", route: nonIdempotent, scripts: []script{nil}, request: get(""),
			lines: []string{"try verdict=not-run connection refused", "lost dependency=replica", "denied status=503 why=no_replica"},
		},
		{
			name: "stream breaks off midway", route: streaming, scripts: []script{reset(broken)}, request: post("Prompt: a bb\r\nContent-Length: 0\r\n", ""),
			lines: []string{`try error=the stream broke after event "2" verdict=may-have-run`, "cut at=failed"},
		},
		{
			name: "call that may have run", route: nonIdempotent, scripts: []script{reset("")}, request: get(""),
			lines: []string{"try verdict=may-have-run connection reset", "denied status=502 sends=1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.scripts...)
			lines := requestLog(t, b, tt.request)
			var got, want []string
			for _, l := range lines {
				got = append(got, l.Kind)
			}
			for _, s := range tt.lines {
				kind, _, _ := strings.Cut(s, " ")
				want = append(want, kind)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("log lines (-want +got):\n%s", diff)
			}
			for i, l := range lines {
				checkWords(t, l, strings.Fields(tt.lines[i])[1:])
			}
		})
	}
}

// requestLog sends a request with the id 1 and returns its log lines.
func requestLog(t *testing.T, b *fixture, request string) []eventlog.Line {
	t.Helper()
	var out bytes.Buffer
	log := eventlog.New(&out)
	b.proxy.Log = log
	b.send(request)
	for range 100 {
		if b.proxy.Active() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	lines, err := eventlog.Read(&out, "r")
	if err != nil {
		t.Fatal(err)
	}
	return eventlog.RequestTimeline(lines, "1")
}

// checkWords checks that a log line has the words: name=value is the beginning of a field, any
// other word is in the error.
func checkWords(t *testing.T, l eventlog.Line, words []string) {
	t.Helper()
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if ok && !strings.HasPrefix(l.Fields[name], value) || !ok && !strings.Contains(l.Fields["error"], word) {
			t.Errorf("event %s %v lacks %s", l.Kind, l.Fields, word)
		}
	}
}
