package answertest

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/testbed"
)

// acceptedRate is the request rate that an endpoint states, in requests a second.
const acceptedRate = 3.0

// limitedEndpoint is an endpoint, one of several, that can state a request rate.
type limitedEndpoint struct {
	setLimit func(on bool)
	runs     func() int        // requests that it ran
	send     func(n int) error // sends request n to a router
}

// check counts the requests that the endpoint gets from all routers while it states a rate, also after one
// router was killed, and after it states none any more. The other endpoints serve the rest.
func (l limitedEndpoint) check(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	const pause, learnTime, window = 20 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second
	allowed := int(1.5*acceptedRate*window.Seconds()) + 5
	sent, failed := 0, 0
	send := func(length time.Duration) (runs int) {
		before := l.runs()
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
			sent++
			if l.send(sent) != nil {
				failed++
			}
		}
		return l.runs() - before
	}
	l.setLimit(true)
	send(learnTime)
	for _, kill := range []bool{false, true} {
		if kill {
			bed.Routers[2].Kill()
			send(learnTime)
		}
		if n := send(window); n > allowed || n == 0 {
			t.Errorf("a router killed %v: %d requests in %v, want 1 to %d", kill, n, window, allowed)
		}
	}
	l.setLimit(false)
	send(learnTime)
	before := sent
	if n := send(window); n < (sent-before)/6 {
		t.Errorf("%d of %d requests after the end of the limit", n, sent-before)
	}
	if failed > sent/20 {
		t.Errorf("%d of %d requests failed, want the other endpoints to serve them", failed, sent)
	}
}

// TestEngineRateIsKeptByAllRouters guards against an engine that gets more requests than it accepts from all
// routers together, and against requests that find no other engine.
func TestEngineRateIsKeptByAllRouters(t *testing.T) {
	t.Parallel()
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 3, EnginesPerZone: 3})
	client, e, rate := newHTTPClient(), bed.Engines[0], acceptedRate
	limitedEndpoint{
		setLimit: func(on bool) {
			e.LimitRate(nil)
			if on {
				e.LimitRate(&rate)
			}
		},
		runs: func() int { return e.Stats().Completed },
		send: func(n int) error {
			return newChat(fmt.Sprint("chat ", n), 2).receive(context.Background(), client, bed.Routers[n%2].URL, &StreamedAnswer{})
		},
	}.check(t, bed)
}

// TestServiceRateIsKeptByAllRouters guards against the same at a plain service, whose calls may not be
// repeated.
func TestServiceRateIsKeptByAllRouters(t *testing.T) {
	t.Parallel()
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 3, ServicesPerZone: 2})
	client := newHTTPClient()
	s, other := bed.Services[0], bed.Services[1]
	limit := map[bool]string{true: strconv.FormatFloat(acceptedRate, 'g', -1, 64)}
	call := func(n int) Reply {
		return save(context.Background(), client, bed.Routers[n%2].URL, "/profiles/"+fmt.Sprint(n), fmt.Sprint("rate-", n), []byte("{}"))
	}
	limitedEndpoint{
		setLimit: func(on bool) { s.LimitRate(limit[on]) },
		runs:     func() int { return len(s.Stats().Keys) },
		send: func(n int) error {
			if r := call(n); !r.OK() {
				return fmt.Errorf("status %d, %s", r.Status, r.Code)
			}
			return nil
		},
	}.check(t, bed)
	// With both at their rates a call is refused at once.
	s.LimitRate("0.25")
	other.LimitRate("0.25")
	refused := Reply{}
	eventually(t, "a call beyond the rates", func() bool {
		refused = call(int(time.Now().UnixNano()))
		return !refused.OK()
	})
	seconds, _ := strconv.Atoi(refused.Header.Get("Retry-After"))
	if diff := cmp.Diff([]any{string(peridotusher.CauseOverloaded), true, true}, []any{refused.Code, refused.NotRun(), seconds > 0}); diff != "" {
		t.Errorf("code, not run, told when to return (-want +got):\n%s", diff)
	}
}
