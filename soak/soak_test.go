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
	long    = flag.Bool("long", false, "compare the measurements with their targets")
	minutes = flag.Float64("minutes", 3, "length of TestSoak in minutes with -long")
)

// The targets, and the load under which they apply.
const (
	targetCPUPerEvent = 20 * time.Microsecond
	targetMemory      = 64 << 10 // bytes per stream
	targetAddedDelay  = 2 * time.Millisecond
	targetStreams     = 500
	tokenTime         = 46 * time.Millisecond
)

const (
	model   = "stylist"
	shopKey = "kalimera-shop-athina-example-key"
	slots   = 128
	// loadReportDelay is the time until the engines' load reports no longer include streams
	// that have ended.
	loadReportDelay = 2 * time.Second
	engines         = 10
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// startBed starts a test bed of one zone whose engines serve many streams concurrently.
func startBed(t *testing.T, routers, count int, token time.Duration) *testbed.Bed {
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

// mustReadUsage reads a router's usage and fails the test on an error.
func mustReadUsage(t *testing.T, r *testbed.Router) Usage {
	t.Helper()
	u, err := ReadUsage(r.PID(), r.Operator)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// TestStreamCost measures the CPU time, memory and added delay of streamed answers at one
// router and compares them with the targets.
func TestStreamCost(t *testing.T) {
	if !*long {
		t.Skip("runs with -long")
	}
	bed := startBed(t, 1, engines, tokenTime)
	router := bed.Routers[0]
	// The first streams fill caches and pools.
	runStreams(t, &Streams{URL: func(int) string { return router.URL + "/v1/chat/completions" }, Key: shopKey, Model: model, Count: 50, Tokens: 20})
	base := mustReadUsage(t, router)
	for _, count := range []int{100, 250, targetStreams} {
		direct := &Streams{URL: func(n int) string {
			return "http://" + bed.Engines[n%len(bed.Engines)].Listener.Addr().String() + "/v1/chat/completions"
		}, Model: model, Count: count, Tokens: 100}
		runStreams(t, direct)
		// Until the load reports are up to date, the owner counts the direct streams as load.
		time.Sleep(loadReportDelay)
		through := &Streams{URL: func(int) string { return router.URL + "/v1/chat/completions" }, Key: shopKey, Model: model, Count: count, Tokens: 100}
		before := mustReadUsage(t, router)
		var peak Usage
		var group errgroup.Group
		group.Go(func() error { return through.Run(t.Context()) })
		for range 4 {
			time.Sleep(time.Second)
			u := mustReadUsage(t, router)
			peak.Resident = max(peak.Resident, u.Resident)
			peak.Heap = max(peak.Heap, u.Heap)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		after := mustReadUsage(t, router)
		perEvent := (after.CPU - before.CPU) / time.Duration(through.Events())
		memory := (peak.Resident - base.Resident) / int64(count)
		added := through.Gap(99) - direct.Gap(99)
		t.Logf("streams=%d events=%d cpu/event=%v resident/stream=%d B heap/stream=%d B gap p99 direct=%v through=%v added=%v p50 added=%v",
			count, through.Events(), perEvent, memory, (peak.Heap-base.Heap)/int64(count), direct.Gap(99), through.Gap(99), added, through.Gap(50)-direct.Gap(50))
		if count != targetStreams {
			continue
		}
		if perEvent > targetCPUPerEvent {
			t.Errorf("%v of CPU time per event, target %v", perEvent, targetCPUPerEvent)
		}
		if memory > targetMemory {
			t.Errorf("%d bytes per stream, target %d", memory, targetMemory)
		}
		if added > targetAddedDelay {
			t.Errorf("%v added at the 99th percentile, target %v", added, targetAddedDelay)
		}
	}
}

func runStreams(t *testing.T, s *Streams) {
	t.Helper()
	if err := s.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestSoak runs traffic while engines, configuration and connections change, and compares
// the routers' usage in the second half of the first third with that in the last third.
func TestSoak(t *testing.T) {
	length := 8 * time.Second
	if *long {
		length = time.Duration(*minutes * float64(time.Minute))
	}
	bed := startBed(t, 2, 4, 2*time.Millisecond)
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	results := make(chan int, 1)
	var group errgroup.Group
	group.Go(func() error { results <- traffic(ctx, bed); return nil })
	group.Go(func() error { return churn(ctx, bed) })
	samples := map[string][]Usage{}
	for ctx.Err() == nil {
		for _, r := range bed.Routers[:2] {
			samples[r.Name] = append(samples[r.Name], mustReadUsage(t, r))
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

// checkGrowth checks that a figure has grown by at most a tenth plus the slack.
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

// churn adds and removes engines, edits the configuration and closes idle connections.
func churn(ctx context.Context, bed *testbed.Bed) error {
	const pause = 500 * time.Millisecond
	for n := 0; ctx.Err() == nil; n++ {
		engine, err := bed.AddEngine("a")
		if err != nil {
			return err
		}
		section := fmt.Sprintf("\n[organisation soak-%d]\nkeys = %s\n", n, document.HashKey(fmt.Sprint("soak-", n)))
		if err := bed.EditDocument(ctx, func(text []byte) []byte { return append(withoutAddedSections(text), section...) }); err != nil && ctx.Err() == nil {
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

// withoutAddedSections removes the sections that earlier edits added.
func withoutAddedSections(text []byte) []byte {
	before, _, _ := bytes.Cut(text, []byte("\n[organisation soak-"))
	return bytes.Clone(before)
}

// traffic sends chats of four requests each until ctx ends, and returns the number of
// requests.
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
