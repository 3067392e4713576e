package answertest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotusher.example/peridotusher/testbed"
)

// TestStoreWrites measures the number of store writes per claim and the latency
// that claims add, at several call rates through eight routers.
func TestStoreWrites(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const period = 8 * time.Second
	text := document("single = no", "single = yes")
	bed := start(t, testbed.Options{RoutersPerZone: 2, ExtraRouters: 2, Document: text})
	for _, perSecond := range []int{10, 100, 500} {
		single := sendAtRate(t, bed, perSecond, period, false)
		before := bed.Store.Calls().Swap
		claimed := sendAtRate(t, bed, perSecond, period, true)
		writes := bed.Store.Calls().Swap - before
		writesPerClaim := float64(writes) / float64(len(claimed))
		t.Logf("%d calls per second: %d claims, %d writes, %.3f writes per claim; p50 %s (single send %s), p99 %s (single send %s)",
			perSecond, len(claimed), writes, writesPerClaim,
			percentile(claimed, 50), percentile(single, 50), percentile(claimed, 99), percentile(single, 99))
		const rateOfTarget, target = 500, 0.2
		if perSecond == rateOfTarget && writesPerClaim >= target {
			t.Errorf("%.3f writes per claim, want under %.1f", writesPerClaim, target)
		}
	}
}

// sendAtRate sends calls at a rate through all routers and returns the sorted latencies
// of the successful ones.
func sendAtRate(t *testing.T, bed *testbed.Bed, perSecond int, period time.Duration, claimed bool) []time.Duration {
	t.Helper()
	var mu sync.Mutex
	var latencies []time.Duration
	failed := 0
	client := newHTTPClient()
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	ctx, cancel := context.WithTimeout(context.Background(), period)
	defer cancel()
	var group errgroup.Group
	for i := 0; limiter.Wait(ctx) == nil; i++ {
		group.Go(func() error {
			key := ""
			if claimed {
				key = newKey(t)
			}
			reply := save(context.Background(), client, bed.Routers[i%len(bed.Routers)].URL, fmt.Sprintf("/profiles/%d", i), key, []byte("waist 70"))
			mu.Lock()
			defer mu.Unlock()
			if reply.OK() {
				latencies = append(latencies, reply.Duration)
			} else {
				failed++
			}
			return nil
		})
	}
	// The callers report no errors.
	_ = group.Wait()
	if failed > 0 {
		t.Errorf("%d of %d calls failed", failed, failed+len(latencies))
	}
	slices.Sort(latencies)
	return latencies
}

// percentile returns the percentile p (0 to 100) of sorted latencies.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/100, len(sorted)-1)].Round(10 * time.Microsecond)
}

// TestMayHaveRunByFault measures for each fault how many calls end as may-have-run
// or without an answer.
func TestMayHaveRunByFault(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	random := newRand(t)
	bed := start(t, testbed.Options{RoutersPerZone: 1, ExtraRouters: 1, Seed: random.Uint64()})
	chaos := &Chaos{Bed: bed, Rand: random, Pause: 200 * time.Millisecond}
	faults := map[string]func(context.Context){
		"kill": chaos.KillRouter, "pause": chaos.PauseRouter, "outage": chaos.StoreOutage, "slow store": chaos.SlowStore,
		"lost answers": chaos.LostStoreAnswers, "silent links": chaos.SilentLinks, "service": chaos.ServiceFaults, "silent service": chaos.SilentService,
	}
	for name, fault := range faults {
		chaos.Faults = map[string]func(context.Context){name: fault}
		calls := newCalls(t, 400)
		err := chaos.runWith(context.Background(), func(ctx context.Context) error {
			return saveAll(ctx, t, bed, calls, random.Uint64())
		})
		if err != nil {
			t.Fatal(err)
		}
		attempts, mayHaveRun, unanswered := 0, 0, 0
		for _, call := range calls {
			attempts += len(call.replies)
			last := call.lastReply()
			if last.Err != nil {
				unanswered++
			} else if !last.OK() && last.Verdict.String() == "may-have-run" {
				mayHaveRun++
			}
		}
		t.Logf("%s %d times: %d calls, %d attempts, %d ended as may-have-run, %d without an answer", name, chaos.Counts()[name], len(calls), attempts, mayHaveRun, unanswered)
		if err := bed.WaitReady(20 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
}
