package answertest

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/testbed"
)

var (
	long    = flag.Bool("long", false, "run the full number of requests in the tests under faults")
	measure = flag.Bool("measure", false, "measure the store's writes and the added latency")
	seed    = flag.Uint64("seed", 0, "seed of the faults, random if zero")
)

// binary is the path of the router program that all tests run.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// start starts a test bed and stops it when the test ends.
func start(t *testing.T, opts testbed.Options) *testbed.Bed {
	t.Helper()
	opts.Binary, opts.Dir = binary, t.TempDir()
	if opts.EnginesPerZone == 0 {
		opts.EnginesPerZone = 1
	}
	bed, stop, err := testbed.Start(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	t.Cleanup(func() {
		for _, r := range bed.Routers {
			if t.Failed() {
				t.Logf("%s: %s", r.Name, r.LogTail())
			}
		}
	})
	t.Cleanup(func() {
		for _, r := range bed.Routers {
			r.Resume()
		}
	})
	return bed
}

// newRand returns a random number generator for the test and logs its seed.
func newRand(t *testing.T) *rand.Rand {
	t.Helper()
	s := *seed
	if s == 0 {
		s = rand.Uint64()
	}
	t.Logf("seed %d", s)
	return rand.New(rand.NewPCG(s, 0))
}

// document returns the example document with some keys replaced.
func document(replacements ...string) []byte {
	return []byte(strings.NewReplacer(replacements...).Replace(string(examples.Kalimera)))
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const limit, pause = 20 * time.Second, 10 * time.Millisecond
	for end := time.Now().Add(limit); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pause)
	}
}

// requestCount returns the number of requests of a test under faults: full with -long,
// short otherwise.
func requestCount(short, full int) int {
	if *long {
		return full
	}
	return short
}
