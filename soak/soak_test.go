package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/callers"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

var (
	long    = flag.Bool("long", false, "measure the stated targets")
	minutes = flag.Float64("minutes", 3, "length of the soak with -long")
)

// The stated targets.
const (
	targetCPUPerEvent = 20 * time.Microsecond
	targetMemory      = 64 << 10 // bytes for each stream
	targetAddedDelay  = 2 * time.Millisecond
	targetStreams     = 500
	tokenTime         = 46 * time.Millisecond
)

const (
	model   = "stylist"
	shopKey = "kalimera-shop-athina-example-key"
	slots   = 128
	// reportLag is the time after which the engines' reports show no ended stream.
	reportLag = 2 * time.Second
	engines   = 10
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// start runs one zone with engines that take many streams at once.
func start(t *testing.T, routers, count int, token time.Duration) *testbed.Bed {
	t.Helper()
	text := bytes.Replace(examples.Kalimera, []byte("slots = 8"), []byte(fmt.Sprintf("slots = %d", slots)), 1)
	text = bytes.Replace(text, []byte("deadline = 30s"), []byte("deadline = 120s"), 1)
	bed, stop, err := testbed.Start(t.Context(), testbed.Options{
		Binary:         binary,
		Dir:            t.TempDir(),
		Zones:          []string{"a"},
		RoutersPerZone: routers,
		EnginesPerZone: count,
		Document:       text,
		ConfigureEngine: func(e *standin.Engine) {
			e.Slots = slots
			e.TokenTime = token
		},
		ExtraSettings: func(string) string { return "" },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return bed
}

// usage reads a router's figures.
func usage(t *testing.T, r *testbed.Router) Usage {
	t.Helper()
	u, err := ReadUsage(r.PID(), r.Operator)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// TestStreamCost measures streamed answers on one router against the targets.
func TestStreamCost(t *testing.T) {
	if !*long {
		t.Skip("runs with -long")
	}
	bed := start(t, 1, engines, tokenTime)
	router := bed.Routers[0]
	// The first streams fill caches and pools.
	run(t, &Streams{URL: func(int) string { return router.URL + "/v1/chat/completions" }, Key: shopKey, Model: model, Count: 50, Tokens: 20})
	base := usage(t, router)
	for _, count := range []int{100, 250, targetStreams} {
		direct := &Streams{URL: func(n int) string {
			return "http://" + bed.Engines[n%len(bed.Engines)].Listener.Addr().String() + "/v1/chat/completions"
		}, Model: model, Count: count, Tokens: 100}
		run(t, direct)
		// Until the reports have caught up, the owner counts the direct streams as load.
		time.Sleep(reportLag)
		through := &Streams{URL: func(int) string { return router.URL + "/v1/chat/completions" }, Key: shopKey, Model: model, Count: count, Tokens: 100}
		before := usage(t, router)
		var peak Usage
		var group errgroup.Group
		group.Go(func() error { return through.Run(t.Context()) })
		for range 4 {
			time.Sleep(time.Second)
			u := usage(t, router)
			peak.Resident = max(peak.Resident, u.Resident)
			peak.Heap = max(peak.Heap, u.Heap)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		after := usage(t, router)
		perEvent := (after.CPU - before.CPU) / time.Duration(through.Events())
		memory := (peak.Resident - base.Resident) / int64(count)
		added := through.Gap(99) - direct.Gap(99)
		t.Logf("streams=%d events=%d cpu/event=%v resident/stream=%d B heap/stream=%d B gap p99 direct=%v through=%v added=%v p50 added=%v",
			count, through.Events(), perEvent, memory, (peak.Heap-base.Heap)/int64(count), direct.Gap(99), through.Gap(99), added, through.Gap(50)-direct.Gap(50))
		if count != targetStreams {
			continue
		}
		if perEvent > targetCPUPerEvent {
			t.Errorf("%v of processor time for each event, target %v", perEvent, targetCPUPerEvent)
		}
		if memory > targetMemory {
			t.Errorf("%d bytes for each stream, target %d", memory, targetMemory)
		}
		if added > targetAddedDelay {
			t.Errorf("%v added at the 99th percentile, target %v", added, targetAddedDelay)
		}
	}
}

func run(t *testing.T, s *Streams) {
	t.Helper()
	if err := s.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestSoak runs traffic with churn and compares the router's figures of the
// first third with those of the last.
func TestSoak(t *testing.T) {
	length := 8 * time.Second
	if *long {
		length = time.Duration(*minutes * float64(time.Minute))
	}
	bed := start(t, 2, 4, 2*time.Millisecond)
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	results := make(chan int, 1)
	var group errgroup.Group
	group.Go(func() error { results <- traffic(ctx, bed); return nil })
	group.Go(func() error { return churn(ctx, bed) })
	samples := map[string][]Usage{}
	for ctx.Err() == nil {
		for _, r := range bed.Routers[:2] {
			samples[r.Name] = append(samples[r.Name], usage(t, r))
		}
		time.Sleep(length / 60)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests in %v", <-results, length)
	for name, s := range samples {
		third := len(s) / 3
		first, last := median(s[third/2:third]), median(s[len(s)-third:])
		t.Logf("%s: first %+v, last %+v", name, first, last)
		if !*long {
			continue
		}
		checkGrowth(t, name+" goroutines", int64(first.Goroutines), int64(last.Goroutines), 20)
		checkGrowth(t, name+" descriptors", int64(first.Descriptors), int64(last.Descriptors), 20)
		checkGrowth(t, name+" resident bytes", first.Resident, last.Resident, 8<<20)
	}
}

// checkGrowth allows a tenth and the slack.
func checkGrowth(t *testing.T, what string, first, last, slack int64) {
	t.Helper()
	if last > first+first/10+slack {
		t.Errorf("%s grew from %d to %d", what, first, last)
	}
}

// median returns the median of each figure.
func median(samples []Usage) Usage {
	middle := func(of func(Usage) int64) int64 {
		var all []int64
		for _, u := range samples {
			all = append(all, of(u))
		}
		slices.Sort(all)
		if len(all) == 0 {
			return 0
		}
		return all[len(all)/2]
	}
	return Usage{
		Resident:    middle(func(u Usage) int64 { return u.Resident }),
		Heap:        middle(func(u Usage) int64 { return u.Heap }),
		Goroutines:  int(middle(func(u Usage) int64 { return int64(u.Goroutines) })),
		Descriptors: int(middle(func(u Usage) int64 { return int64(u.Descriptors) })),
	}
}

// churn lets engines come and go, edits the configuration and replaces connections.
func churn(ctx context.Context, bed *testbed.Bed) error {
	const pause = 500 * time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		engine, err := bed.AddEngine("a")
		if err != nil {
			return err
		}
		section := fmt.Sprintf("\n[organisation soak-%d]\nkeys = %s\n", n, document.HashKey(fmt.Sprint("soak-", n)))
		if err := bed.EditDocument(ctx, func(text []byte) []byte { return append(withoutProbes(text), section...) }); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		bed.MarkLeaving(engine.Name)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(2 * pause):
		}
		bed.Unlist(engine.Name)
		client.CloseIdleConnections()
	}
	return nil
}

// withoutProbes drops the sections that earlier edits added.
func withoutProbes(text []byte) []byte {
	before, _, _ := bytes.Cut(text, []byte("\n[organisation soak-"))
	return bytes.Clone(before)
}

// traffic sends chats, each of a few turns, and returns the number of requests.
func traffic(ctx context.Context, bed *testbed.Bed) int {
	const workers = 16
	urls := []string{bed.Routers[0].URL, bed.Routers[1].URL}
	balancer := &callers.Balancer{URLs: func() []string { return urls }, Interval: time.Second}
	counts := make([]int, workers)
	var group errgroup.Group
	for n := range workers {
		group.Go(func() error {
			c := newCaller(balancer, uint64(n))
			for ctx.Err() == nil {
				q := callers.Completion{Class: "chat", Chat: fmt.Sprintf("chat-%d-%d", n, counts[n]/4), Messages: []callers.Message{{Role: "user", Content: fmt.Sprint("turn ", counts[n])}}, Tokens: 10, Stream: counts[n]%2 == 0}
				c.Complete(ctx, q)
				counts[n]++
			}
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

func newCaller(b *callers.Balancer, n uint64) *callers.Caller {
	return &callers.Caller{Balancer: b, Key: shopKey, Model: model, Rand: rand.New(rand.NewPCG(1, n))}
}
