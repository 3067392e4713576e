package answertest

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// openStreams starts streams at the first router and waits until all of them run
// concurrently. Callers that are refused before that send the request again: the engines'
// first load reports may be missing, an engine may be changing its owner, or the load
// bound may refuse a request.
func openStreams(t *testing.T, bed *testbed.Bed, streams []*StreamedAnswer, group *errgroup.Group, after func(i int, err error) error) {
	t.Helper()
	setSlow(bed, slowFactor)
	client := newHTTPClient()
	var running atomic.Bool
	for i := range streams {
		streams[i] = &StreamedAnswer{}
		c := newChat(fmt.Sprint(i), stopTokens)
		group.Go(func() error {
			for {
				err := c.receive(context.Background(), client, bed.Routers[0].URL, streams[i])
				if running.Load() {
					return after(i, err)
				}
				if streams[i].Request != "" && streams[i].Verdict != "not-run" {
					return fmt.Errorf("stream %d ended before all ran: %+v, %w", i, streams[i], err)
				}
				*streams[i] = StreamedAnswer{}
				time.Sleep(retryPause)
			}
		})
	}
	eventually(t, "running streams", func() bool {
		n := 0
		for _, e := range bed.Engines {
			n += e.Stats().Running
		}
		return n == len(streams)
	})
	running.Store(true)
}

const (
	// stopTokens is the length of the answers in tokens. While the engines are slow, such
	// an answer takes longer than the admission of all streams.
	stopTokens = 1000
	// slowFactor multiplies the time per token while streams must stay open.
	slowFactor = 20
)

// slowStreamEngine makes answers take one to two seconds.
func slowStreamEngine(e *standin.Engine) { e.TokenTime = 1500 * time.Microsecond }

func setSlow(bed *testbed.Bed, factor float64) {
	for _, e := range bed.Engines {
		e.SetSlow(factor)
	}
}

// TestPlannedStopCompletesRequests stops a router with streams and calls in flight. All of
// them must complete, and each call must run once.
func TestPlannedStopCompletesRequests(t *testing.T) {
	t.Parallel()
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 2, EnginesPerZone: 3, ConfigureEngine: slowStreamEngine})
	streams := make([]*StreamedAnswer, 12)
	var group errgroup.Group
	openStreams(t, bed, streams, &group, func(i int, err error) error {
		if err != nil {
			return fmt.Errorf("stream %d: %w", i, err)
		}
		return nil
	})
	calls := newCalls(t, 12)
	client := newHTTPClient()
	for i, call := range calls {
		call.key = newKey(t)
		group.Go(func() error {
			reply := save(context.Background(), client, bed.Routers[0].URL, call.path, call.key, []byte(call.body))
			if !reply.OK() {
				return fmt.Errorf("call %d: %+v", i, reply)
			}
			return nil
		})
	}
	bed.Routers[0].Terminate()
	// The streams are still open when the stop begins.
	time.Sleep(300 * time.Millisecond)
	setSlow(bed, 1)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if err := bed.Routers[0].Wait(); err != nil {
		t.Errorf("the router ended with %v", err)
	}
	for i, s := range streams {
		want, err := newChat(fmt.Sprint(i), stopTokens).answer(s.Request)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, s.Text.String()); diff != "" || !s.Done {
			t.Errorf("stream %d, done %v (-want +got):\n%s", i, s.Done, diff)
		}
	}
	for _, call := range calls {
		if n := runs(bed, call.key); n != 1 {
			t.Errorf("key %s ran %d times", call.key, n)
		}
	}
}

// TestStreamsResumeAfterRouterKill kills a router with open streams. Each caller must
// receive the rest of its answer from the other router.
func TestStreamsResumeAfterRouterKill(t *testing.T) {
	t.Parallel()
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 2, EnginesPerZone: 3, ConfigureEngine: slowStreamEngine})
	streams := make([]*StreamedAnswer, 12)
	client := newHTTPClient()
	var group errgroup.Group
	openStreams(t, bed, streams, &group, func(i int, err error) error {
		if err == nil {
			return fmt.Errorf("stream %d was not interrupted", i)
		}
		return newChat(fmt.Sprint(i), stopTokens).receive(context.Background(), client, bed.Routers[1].URL, streams[i])
	})
	// By now every caller has received a part of its answer.
	time.Sleep(300 * time.Millisecond)
	bed.Routers[0].Kill()
	setSlow(bed, 1)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for i, s := range streams {
		want, err := newChat(fmt.Sprint(i), stopTokens).answer(s.Request)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, s.Text.String()); diff != "" || !s.Done {
			t.Errorf("stream %d, done %v, failure %q (-want +got):\n%s", i, s.Done, s.Failure, diff)
		}
	}
	for _, e := range bed.Engines {
		for request, n := range e.Stats().Runs {
			if n != 1 {
				t.Errorf("request %s ran %d times at %s", request, n, e.Name)
			}
		}
	}
}
