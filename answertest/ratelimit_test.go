package answertest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

// TestEngineRateIsKeptByAllRouters guards against an engine that gets more requests than it accepts from all
// routers together, also after one of them was killed, and against requests that find no other engine.
func TestEngineRateIsKeptByAllRouters(t *testing.T) {
	t.Parallel()
	const pause, learnTime, window = 20 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second
	rate := 3.0
	allowed := int(1.5*rate*window.Seconds()) + 5
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 3, EnginesPerZone: 3})
	client := newHTTPClient()
	sent, failed := 0, 0
	send := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
			sent++
			s := &StreamedAnswer{}
			c := newChat(fmt.Sprint("chat ", sent), 2)
			if err := c.receive(context.Background(), client, bed.Routers[sent%2].URL, s); err != nil || !s.Done {
				failed++
			}
		}
	}
	limited := bed.Engines[0]
	limited.LimitRate(&rate)
	send(learnTime)
	for _, kill := range []bool{false, true} {
		if kill {
			bed.Routers[2].Kill()
			send(learnTime)
		}
		before := limited.Stats().Completed
		send(window)
		if n := limited.Stats().Completed - before; n > allowed || n == 0 {
			t.Errorf("a router killed %v: %d requests in %v, want 1 to %d", kill, n, window, allowed)
		}
	}
	limited.LimitRate(nil)
	send(learnTime)
	before, all := limited.Stats().Completed, sent
	send(window)
	if n := limited.Stats().Completed - before; n < (sent-all)/6 {
		t.Errorf("%d of %d requests after the end of the limit", n, sent-all)
	}
	if failed > sent/20 {
		t.Errorf("%d of %d requests failed, want the other engines to serve them", failed, sent)
	}
}
