package answertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/testbed"
)

const (
	// maxAttempts limits a caller's attempts for one idempotency key.
	maxAttempts = 12
	// callWorkers is the number of concurrent callers.
	callWorkers = 32
	// retryPause is the time between two attempts.
	retryPause = 100 * time.Millisecond
)

// savedCall is one call and the replies to all its attempts.
type savedCall struct {
	key     string
	path    string
	body    string
	replies []Reply
}

// lastReply returns the reply to the last attempt.
func (s *savedCall) lastReply() Reply { return s.replies[len(s.replies)-1] }

// allNotRun returns whether every attempt was answered as not run.
func (s *savedCall) allNotRun() bool {
	for _, r := range s.replies {
		if !r.NotRun() {
			return false
		}
	}
	return true
}

// runs returns how often the services ran the call with this key.
func runs(bed *testbed.Bed, key string) int {
	n := 0
	for _, s := range bed.Services {
		n += s.Stats().Keys[key]
	}
	return n
}

// TestCallsRunAtMostOnce sends calls that are not idempotent while routers,
// connections, the store and the services fail. The callers retry through random
// routers until they know the outcome.
func TestCallsRunAtMostOnce(t *testing.T) {
	random := newRand(t)
	bed := start(t, testbed.Options{RoutersPerZone: 1, ExtraRouters: 1, Seed: random.Uint64()})
	chaos := &Chaos{Bed: bed, Rand: rand.New(rand.NewPCG(random.Uint64(), 0)), Pause: 200 * time.Millisecond}
	chaos.Faults = map[string]func(context.Context){
		"kill": chaos.KillRouter, "pause": chaos.PauseRouter, "outage": chaos.StoreOutage,
		"slow store": chaos.SlowStore, "lost answers": chaos.LostStoreAnswers, "silent links": chaos.SilentLinks,
		"service": chaos.ServiceFaults, "silent service": chaos.SilentService,
	}
	calls := newCalls(t, requestCount(300, 2000))
	started := time.Now()
	err := chaos.runWith(context.Background(), func(ctx context.Context) error {
		return saveAll(ctx, t, bed, calls, random.Uint64())
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d calls in %s under faults %v", len(calls), time.Since(started).Round(time.Millisecond), chaos.Counts())
	for _, r := range bed.Routers {
		r.Resume()
	}
	if err := bed.WaitReady(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	checkCalls(t, bed, calls)
	checkRepeats(t, bed, calls, random)
}

func newCalls(t *testing.T, n int) []*savedCall {
	t.Helper()
	calls := make([]*savedCall, n)
	for i := range calls {
		calls[i] = &savedCall{path: fmt.Sprintf("/profiles/%d", i), body: fmt.Sprintf("waist %d", i)}
	}
	return calls
}

// saveAll sends the calls from callWorkers concurrent callers.
func saveAll(ctx context.Context, t *testing.T, bed *testbed.Bed, calls []*savedCall, seed uint64) error {
	client := newHTTPClient()
	var group errgroup.Group
	group.SetLimit(callWorkers)
	for i, call := range calls {
		group.Go(func() error {
			key, err := uuid.NewV7()
			if err != nil {
				return err
			}
			call.key = key.String()
			if i%8 == 0 {
				call.key = fmt.Sprintf("order-%d-%d", seed, i) // a key without a timestamp
			}
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for range maxAttempts {
				router := bed.Routers[random.IntN(len(bed.Routers))]
				reply := save(ctx, client, router.URL, call.path, call.key, []byte(call.body))
				call.replies = append(call.replies, reply)
				if call.allNotRun() && runs(bed, call.key) != 0 {
					t.Errorf("key %s: reported as not run (%s) but it ran", call.key, reply.Code)
				}
				if reply.Final() {
					return nil
				}
				pause.For(ctx, retryPause)
			}
			return nil
		})
	}
	return group.Wait()
}

// checkCalls compares the replies to the callers with the runs at the services.
func checkCalls(t *testing.T, bed *testbed.Bed, calls []*savedCall) {
	t.Helper()
	replyCounts := map[string]int{}
	attempts := 0
	for _, call := range calls {
		n := runs(bed, call.key)
		last := call.lastReply()
		attempts += len(call.replies)
		replyCounts[describe(last)]++
		if n > 1 {
			t.Errorf("key %s ran %d times", call.key, n)
		}
		if call.allNotRun() && n != 0 {
			t.Errorf("key %s was reported as not run by every attempt but ran", call.key)
		}
		if last.OK() && (n != 1 || string(last.Body) != call.body) {
			t.Errorf("key %s: answered %q, ran %d times; want %q once", call.key, last.Body, n, call.body)
		}
		if last.Err == nil && last.Verdict.String() == "ran" && n != 1 {
			t.Errorf("key %s was reported as run but ran %d times", call.key, n)
		}
	}
	t.Logf("%d attempts; last replies: %v", attempts, replyCounts)
	if replyCounts["ok"] < len(calls)/2 {
		t.Errorf("only %d of %d calls were answered with their outcome", replyCounts["ok"], len(calls))
	}
}

// describe summarizes a reply.
func describe(r Reply) string {
	switch {
	case r.OK():
		return "ok"
	case r.Err != nil:
		return "no answer"
	default:
		return r.Verdict.String() + " " + r.Code
	}
}

// checkRepeats repeats answered calls through random routers: they must be answered
// with the recorded outcome and must not run again.
func checkRepeats(t *testing.T, bed *testbed.Bed, calls []*savedCall, random *rand.Rand) {
	t.Helper()
	const maxRepeats = 100
	client := newHTTPClient()
	replyCounts := map[string]int{}
	for _, call := range calls[:min(maxRepeats, len(calls))] {
		if !call.lastReply().OK() {
			continue
		}
		router := bed.Routers[random.IntN(len(bed.Routers))]
		reply := save(context.Background(), client, router.URL, call.path, call.key, []byte(call.body))
		replyCounts[describe(reply)]++
		if reply.OK() && string(reply.Body) != call.body {
			t.Errorf("key %s: repeat answered %q, want %q", call.key, reply.Body, call.body)
		}
		if reply.NotRun() {
			t.Errorf("key %s ran, but its repeat was reported as not run (%s)", call.key, reply.Code)
		}
		if n := runs(bed, call.key); n != 1 {
			t.Errorf("key %s ran %d times after its repeat", call.key, n)
		}
	}
	t.Logf("replies to repeats: %v", replyCounts)
}
