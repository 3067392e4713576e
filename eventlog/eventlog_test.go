package eventlog

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

func TestEventsAsPairs(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	log.Event("denied", "id", "7", "took", 1500*time.Microsecond, "mean", 2.5,
		"error", errors.New("no room"), "none", nil, "empty", "",
		"address", "10.0.0.1:80", "count", 3, "gone", true, "revision", int64(9))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(out.String(), "Z\" ")
	const want = `level=info msg=denied id=7 took=1.5ms mean=2.50 error="no room" address="10.0.0.1:80" count=3 gone=true revision=9` + "\n"
	if diff := cmp.Diff(want, line); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}

// TestLongTextIsCut guards against lines whose length a client chooses, for example by its request's id.
func TestLongTextIsCut(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	log.Event("denied", "id", strings.Repeat("i", maxTextBytes), "error", errors.New(strings.Repeat("e", 16<<10)))
	log.flush()
	_, line, _ := strings.Cut(out.String(), "msg=")
	want := "denied id=" + strings.Repeat("i", maxTextBytes) + " error=" + strings.Repeat("e", maxTextBytes) + "...\n"
	if diff := cmp.Diff(want, line); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}

// TestFullQueueDrops queues more events than fit while none are written.
func TestFullQueueDrops(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	for range queueLength + 5 {
		log.Event("answered")
	}
	log.flush()
	if n := strings.Count(out.String(), "msg=answered"); n != queueLength {
		t.Errorf("%d events were written, want %d", n, queueLength)
	}
	if !strings.Contains(out.String(), "msg=dropped kind=answered count=5") {
		t.Errorf("the dropped events are not reported: %q", out.String()[max(0, out.Len()-200):])
	}
}

func TestRequestTimeline(t *testing.T) {
	const one = `time="2026-01-01T00:00:01.000Z" level=info msg=lost dependency=replica replica=a zone=z
noise
time="2026-01-01T00:00:02.000Z" level=info msg=ejected replica=b failed=0.90
time="2026-01-01T00:00:02.200Z" level=info msg=backoff id=5 replica=d told=2s for=2s
time="2026-01-01T00:00:02.300Z" level=info msg=epoch epoch=2 revision=9 from=list
time="2026-01-01T00:00:02.500Z" level=info msg=try error="read: \"reset\"" id=7 replica=a verdict=may-have-run
time="2026-01-01T00:00:02.600Z" level=info msg=answered id=8 replica=a
time="2026-01-01T00:00:02.700Z" level=info msg=denied id=7 status=502
`
	const two = `  12.3 r2 time="2026-01-01T00:00:02.600Z" level=info msg=configuration version=4
  12.4 r2 time="2026-01-01T00:00:04.000Z" level=info msg=answered id=7 replica=c
`
	var lines []Line
	for name, text := range map[string]string{"r1": one, "x": two} {
		l, err := Read(strings.NewReader(text), name)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l...)
	}
	var got []string
	for _, l := range RequestTimeline(lines, "7") {
		got = append(got, l.Process+" "+l.Kind)
	}
	want := []string{
		"r1 lost", "r1 backoff", "r1 epoch", "r1 try", "r2 configuration", "r1 denied", "r2 answered",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("timeline (-want +got):\n%s", diff)
	}
	if got := RequestTimeline(lines, "9"); got != nil {
		t.Errorf("timeline of an unknown request: %v", got)
	}
}

// BenchmarkAnswered measures writing the line of an answered request.
func BenchmarkAnswered(b *testing.B) {
	log := New(io.Discard)
	for b.Loop() {
		log.write(event{at: time.Now(), kind: "answered", fields: []any{
			"id", "5aed36012fbd6701", "route", "r-irmn772", "status", 200, "replica", "i-10429d3b0d",
			"reason", "holder", "held", 3, "mean", 2.6, "part", "fad49591f917", "waited", time.Duration(0),
			"own", 60 * time.Microsecond, "sends", 1, "version", 4,
			"first", 40 * time.Millisecond, "pause", 53 * time.Millisecond, "took", time.Second,
		}})
	}
}
