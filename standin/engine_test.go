package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

// engineWaitTimeout bounds every wait for a condition.
const engineWaitTimeout = 20 * time.Second

// engineStart runs an engine and returns its address.
func engineStart(t *testing.T, e *Engine) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.Listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// enginePost sends a chat completion and returns the response with its body unread.
func enginePost(t *testing.T, address, id, fields string) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[],%s}`, fields)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// engineWait waits until the engine's counts satisfy ok.
func engineWait(t *testing.T, e *Engine, what string, ok func(EngineStats) bool) {
	t.Helper()
	for begin := time.Now(); !ok(e.Stats()); time.Sleep(time.Millisecond) {
		if time.Since(begin) > engineWaitTimeout {
			t.Fatalf("no %s in %v: %+v", what, engineWaitTimeout, e.Stats())
		}
	}
}

func TestEngineHonoursPriority(t *testing.T) {
	e := &Engine{Name: "e1", Slots: 1, TokenTime: time.Millisecond}
	address := engineStart(t, e)
	first := enginePost(t, address, "first", `"max_tokens":1000000`)
	engineWait(t, e, "running request", func(s EngineStats) bool { return s.Running == 1 })
	enginePost(t, address, "late", `"max_tokens":1,"priority":2`)
	enginePost(t, address, "soon", `"max_tokens":1,"priority":1`)
	engineWait(t, e, "queue of two", func(s EngineStats) bool { return s.Waiting == 2 })
	req, err := http.NewRequest(http.MethodDelete, "http://"+address+"/v1/streams/"+first.Header.Get("X-Stream-Id"), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	engineWait(t, e, "end of both", func(s EngineStats) bool { return s.Completed == 2 })
	stats := e.Stats()
	if diff := cmp.Diff([]string{"first", "soon", "late"}, stats.Order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	if stats.Cancelled != 1 || stats.PeakWork != 1 {
		t.Errorf("cancelled %d, peak work %d, want 1 and 1", stats.Cancelled, stats.PeakWork)
	}
}

func TestEngineCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var c engineCache
	c.init(1, 100, 0)
	now := time.Unix(0, 0)
	c.store("a", 40, now)
	c.store("b", 40, now)
	c.lookup("a", 1)
	c.store("c", 40, now)
	c.store("huge", 101, now)
	got := map[string]int{}
	for _, chat := range []string{"a", "b", "c", "huge"} {
		got[chat] = c.lookup(chat, 50)
	}
	if diff := cmp.Diff(map[string]int{"a": 40, "b": 0, "c": 40, "huge": 0}, got); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
	var events []string
	for _, event := range c.published(1, now) {
		events = append(events, fmt.Sprintf("%d%s %v", event.Sequence, event.Chat, event.Stored))
	}
	if diff := cmp.Diff([]string{"2b true", "3c true", "4b false"}, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestEngineCacheEventsAreDelayedAndLost(t *testing.T) {
	var c engineCache
	c.init(1, 100, 0.5)
	begin := time.Unix(0, 0)
	const stores = 40
	for i := range stores {
		c.store("a", 1, begin.Add(time.Duration(i)*time.Second))
	}
	all := c.published(0, begin.Add(stores*time.Second))
	if len(all) == 0 || len(all) == stores {
		t.Errorf("%d of %d events published, want some lost and some not", len(all), stores)
	}
	if got := c.published(0, begin.Add(-time.Second)); len(got) != 0 {
		t.Errorf("%d events published before they were stored", len(got))
	}
}

func TestEngineCancelsStreamWithoutReader(t *testing.T) {
	e := &Engine{Name: "e1", TokenTime: time.Millisecond, Grace: time.Millisecond}
	address := engineStart(t, e)
	resp := enginePost(t, address, "r1", `"max_tokens":1000000`)
	engineWait(t, e, "running request", func(s EngineStats) bool { return s.Running == 1 })
	resp.Body.Close()
	engineWait(t, e, "cancelled request", func(s EngineStats) bool { return s.Cancelled == 1 })
}

func TestEngineDelaysLoadReport(t *testing.T) {
	now := time.Unix(100, 0)
	e := &Engine{Clock: peridotusher.ClockFunc(func() time.Time { return now }), LoadReportDelay: time.Second}
	e.once.Do(e.prepare)
	var works []int
	for i := range 4 {
		e.queue = append(e.queue, &engineRun{work: i})
		e.sample()
		works = append(works, e.loads[0].load.Work)
		now = now.Add(time.Second)
	}
	if diff := cmp.Diff([]int{0, 0, 1, 3}, works); diff != "" {
		t.Errorf("reported work (-want +got):\n%s", diff)
	}
}
