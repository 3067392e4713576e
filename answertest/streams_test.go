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
	// streamWorkers is the number of callers with a stream at once.
	streamWorkers = 24
	// streamTokens is the length of each answer.
	streamTokens = 40
	// maxConnections is the most connections of a caller for one stream.
	maxConnections = 12
)

// streamDocument has a short idle timeout, so that silence is found soon, and
// a budget of retries that the faults of these tests don't use up.
func streamDocument() []byte {
	return document("idle = 5s", "idle = 500ms", "retries = 10%", "retries = 100%")
}

// slowEngine makes answers take long enough for faults to meet them.
func slowEngine(e *standin.Engine) { e.TokenTime = 10 * time.Millisecond }

// TestStreamsAreWhole reads streams while routers, connections and engines
// fail. The callers reconnect to any router with the last event's id.
func TestStreamsAreWhole(t *testing.T) {
	random := newRand(t)
	bed := start(t, testbed.Options{
		RoutersPerZone: 1, ExtraRouters: 1, EnginesPerZone: 3, Seed: random.Uint64(),
		Document: streamDocument(), ConfigureEngine: slowEngine,
	})
	chaos := &Chaos{Bed: bed, Rand: rand.New(rand.NewPCG(random.Uint64(), 0)), Pause: 150 * time.Millisecond}
	chaos.Faults = map[string]func(context.Context){
		"kill": chaos.KillRouter, "pause": chaos.PauseRouter, "outage": chaos.StoreOutage, "silent links": chaos.SilentLinks,
		"silent engine": chaos.SilentEngine, "crossed": chaos.CrossedEvents, "crash": chaos.CrashEngine,
	}
	streams := make([]*Streamed, size(100, 1000))
	seed := random.Uint64()
	began := time.Now()
	err := chaos.during(context.Background(), func(ctx context.Context) error {
		client := newHTTPClient()
		var group errgroup.Group
		group.SetLimit(streamWorkers)
		for i := range streams {
			streams[i] = &Streamed{}
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
	t.Logf("%d streams in %s under faults %v", len(streams), time.Since(began).Round(time.Millisecond), chaos.Counts())
	checkStreams(t, streams)
}

// receiveAll reads one stream through as many routers as it takes.
func receiveAll(ctx context.Context, client *http.Client, bed *testbed.Bed, s *Streamed, c chat, random *rand.Rand) {
	for range maxConnections {
		if s.LastID == "" {
			// Nothing was received, so that this is a new request.
			*s = Streamed{}
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
func checkStreams(t *testing.T, streams []*Streamed) {
	t.Helper()
	ends := map[string]int{}
	for i, s := range streams {
		want, err := newChat(fmt.Sprint(i), streamTokens).answer(s.Request)
		if err != nil {
			t.Fatal(err)
		}
		got := s.Text.String()
		switch {
		case s.Done && got == want:
			ends["whole"]++
		case s.Done:
			t.Errorf("stream %d ended as whole with\n%q, want\n%q", i, got, want)
		case len(got) > len(want) || got != want[:len(got)]:
			t.Errorf("stream %d holds text that is not its own:\n%q, want a beginning of\n%q", i, got, want)
		case s.Failure != "":
			ends[s.Verdict+" "+s.Failure]++
			if s.Verdict == "not-run" && got != "" {
				t.Errorf("stream %d was told not run after %d bytes", i, len(got))
			}
		default:
			t.Errorf("stream %d ended without an end mark and without an error after %d bytes", i, len(got))
		}
	}
	t.Logf("streams ended: %v", ends)
	if ends["whole"] < len(streams)/2 {
		t.Errorf("only %d of %d streams were whole", ends["whole"], len(streams))
	}
}
