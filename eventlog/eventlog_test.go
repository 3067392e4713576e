package eventlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

func TestEventsAsPairs(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	log.Event("denied", "id", "7", "took", 1500*time.Microsecond, "mean", 2.5, "error", errors.New("no room"), "none", nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"msg=denied", "id=7", "took=1.5ms", "mean=2.50", `error="no room"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("line %q lacks %s", out.String(), want)
		}
	}
	if strings.Contains(out.String(), "none") {
		t.Errorf("line %q names a field without value", out.String())
	}
}

// TestFullQueueDrops writes more events than fit while nobody takes them.
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
	if !strings.Contains(out.String(), "msg=dropped count=5 kind=answered") {
		t.Errorf("the dropped events are not told: %q", out.String()[max(0, out.Len()-200):])
	}
}

func TestStory(t *testing.T) {
	const one = `time="2026-01-01T00:00:01.000Z" level=info msg=lost dependency=replica replica=a zone=z
noise
time="2026-01-01T00:00:02.000Z" level=info msg=avoided replica=b failed=0.90
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
	for _, l := range Story(lines, "7") {
		got = append(got, l.Process+" "+l.Kind)
	}
	want := []string{"r1 lost", "r1 try", "r2 configuration", "r1 denied", "r2 answered"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("story (-want +got):\n%s", diff)
	}
	if got := Story(lines, "9"); got != nil {
		t.Errorf("story of an unknown request: %v", got)
	}
}
