package answertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

const (
	// streamWorkers is the number of callers that read streams concurrently.
	streamWorkers = 24
	// streamTokens is the length of each answer in tokens.
	streamTokens = 40
	// maxConnections limits the connections that a caller opens for one stream.
	maxConnections = 12
)

// streamDocument returns a configuration with a short idle timeout, so that silent
// connections are detected quickly, and a retry budget that these tests don't exhaust.
func streamDocument() []byte {
	return document("idle = 5s", "idle = 500ms", "retries = 10%", "retries = 100%")
}

// slowEngine makes answers take long enough for faults to occur during them.
func slowEngine(e *standin.Engine) { e.TokenTime = 10 * time.Millisecond }

// TestStreamsUnderFaults reads streams while routers, connections and engines fail.
// The callers reconnect to any router with the id of the last event. Each stream must
// end complete or with an error, and never hold text of another request.
func TestStreamsUnderFaults(t *testing.T) {
	random := newRand(t)
	bed := start(t, testbed.Options{
		RoutersPerZone: 1, ExtraRouters: 1, EnginesPerZone: 3, Seed: random.Uint64(),
		Document: streamDocument(), ConfigureEngine: slowEngine,
	})
	chaos := &Chaos{Bed: bed, Rand: rand.New(rand.NewPCG(random.Uint64(), 0)), Pause: 150 * time.Millisecond}
	chaos.Faults = map[string]func(context.Context){
		"kill": chaos.KillRouter, "pause": chaos.PauseRouter, "outage": chaos.StoreOutage, "silent links": chaos.SilentLinks,
		"silent engine": chaos.SilentEngine, "crossed": chaos.CrossedEvents, "broken": chaos.BrokenStreams, "crash": chaos.CrashEngine,
	}
	streams := make([]*StreamedAnswer, requestCount(100, 1000))
	seed := random.Uint64()
	started := time.Now()
	err := chaos.runWith(context.Background(), func(ctx context.Context) error {
		client := newHTTPClient()
		var group errgroup.Group
		group.SetLimit(streamWorkers)
		for i := range streams {
			streams[i] = &StreamedAnswer{}
			group.Go(func() error {
				receiveAll(ctx, client, bed, streams[i], newChat(fmt.Sprint(i), streamTokens), rand.New(rand.NewPCG(seed, uint64(i))))
				return nil
			})
		}
		return group.Wait()
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d streams in %s under faults %v", len(streams), time.Since(started).Round(time.Millisecond), chaos.Counts())
	checkStreams(t, streams)
}

// receiveAll reads one stream to its end, reconnecting to a random router up to
// maxConnections times.
func receiveAll(ctx context.Context, client *http.Client, bed *testbed.Bed, s *StreamedAnswer, c chat, random *rand.Rand) {
	for range maxConnections {
		if s.LastID == "" {
			// Nothing was received yet, so the caller sends a new request.
			*s = StreamedAnswer{}
		}
		router := bed.Routers[random.IntN(len(bed.Routers))]
		err := c.receive(ctx, client, router.URL, s)
		refused := s.LastID == "" && s.Verdict == "not-run"
		if err == nil && !refused {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// checkStreams compares every text with the answer to its own request.
func checkStreams(t *testing.T, streams []*StreamedAnswer) {
	t.Helper()
	outcomes := map[string]int{}
	for i, s := range streams {
		want, err := newChat(fmt.Sprint(i), streamTokens).answer(s.Request)
		if err != nil {
			t.Fatal(err)
		}
		got := s.Text.String()
		switch {
		case s.Done && got == want:
			outcomes["complete"]++
		case s.Done:
			t.Errorf("stream %d ended as complete with\n%q, want\n%q", i, got, want)
		case len(got) > len(want) || got != want[:len(got)]:
			t.Errorf("stream %d holds text that is not its own:\n%q, want a prefix of\n%q", i, got, want)
		case s.Failure != "":
			outcomes[s.Verdict+" "+s.Failure]++
			if s.Verdict == "not-run" && got != "" {
				t.Errorf("stream %d was reported as not run after %d bytes", i, len(got))
			}
		default:
			t.Errorf("stream %d ended without [DONE] and without an error after %d bytes", i, len(got))
		}
	}
	t.Logf("streams ended: %v", outcomes)
	if outcomes["complete"] < len(streams)/2 {
		t.Errorf("only %d of %d streams were complete", outcomes["complete"], len(streams))
	}
}
