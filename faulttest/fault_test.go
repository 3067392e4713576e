package faulttest

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"peridotusher.example/peridotusher/testbed"
)

var (
	long  = flag.Bool("long", false, "run every fault alone and in pairs")
	seed  = flag.Uint64("seed", 1, "seed of the traffic and of the faults' times")
	pairs = flag.Int("pairs", 12, "number of random pairs of faults")
)

// binary is the router program under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// runEpisode runs one episode and fails the test for each violation.
func runEpisode(t *testing.T, seed uint64, faults []Fault) {
	t.Helper()
	t.Logf("seed %d", seed)
	e := &Episode{Binary: binary, Dir: t.TempDir(), Seed: seed, Faults: faults, Log: t.Logf}
	violations, err := e.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range violations {
		t.Error(v)
	}
}

// TestShort runs a short episode even without -long.
func TestShort(t *testing.T) {
	runEpisode(t, *seed, Named("engine-leaves", "router-killed"))
}

func TestAlone(t *testing.T) {
	if !*long {
		t.Skip("runs with -long")
	}
	for _, f := range Faults() {
		t.Run(f.Name, func(t *testing.T) { runEpisode(t, *seed, []Fault{f}) })
	}
}

func TestPairs(t *testing.T) {
	if !*long {
		t.Skip("runs with -long")
	}
	random := rand.New(rand.NewPCG(*seed, 1))
	for range *pairs {
		all := Faults()
		order := random.Perm(len(all))
		pair := []Fault{all[order[0]], all[order[1]]}
		episodeSeed := random.Uint64()
		t.Run(pair[0].Name+"+"+pair[1].Name, func(t *testing.T) { runEpisode(t, episodeSeed, pair) })
	}
}
