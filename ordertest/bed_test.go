package ordertest

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

const (
	// waitLimit limits the wait for a condition.
	waitLimit = 60 * time.Second
	// waitInterval is the time between two checks of a condition.
	waitInterval = 50 * time.Millisecond
	// callerKey is the API key of the only organisation.
	callerKey = "order-test-key"
	// ordersLeaseKey is the store key whose holder sends the orders to zone a's engines.
	ordersLeaseKey = "peridotusher/orders/a"
)

var (
	long = flag.Bool("long", false, "also run the slow tests and the measurements")
	// binary is the path of the router program.
	binary string
	// starting is locked while a test bed starts, so that two beds don't choose the
	// same addresses.
	starting sync.Mutex
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// requireLong skips a test that only runs with -long.
func requireLong(t *testing.T) {
	t.Helper()
	if !*long {
		t.Skip("runs with -long")
	}
}

// config is the part of the configuration document that a test changes.
type config struct {
	fencing  document.Fencing
	versions string
	policy   string // more lines of the section [policy]
}

func (c config) text() []byte {
	if !strings.Contains(c.policy, "soak") {
		c.policy += "\nsoak = 500ms"
	}
	if c.fencing == "" {
		c.fencing = document.FencingChecked
	}
	return fmt.Appendf(nil, `[policy]
lease = 2s
flight = 500ms
stale = 7s
%s
[class chat]
deadline = 20s
[model stylist]
slots = 8
replicas = 3
fencing = %s
versions = %s
[organisation shop]
keys = %s
`, c.policy, c.fencing, c.versions, document.HashKey(callerKey))
}

// fleet is a test bed whose engines start with version v1.
type fleet struct {
	*testbed.Bed
	t      *testing.T
	client *engine.Client
}

// startFleet starts a test bed in one zone with three routers and four engines,
// unless the options say otherwise.
func startFleet(t *testing.T, c config, opts testbed.Options) *fleet {
	t.Helper()
	opts.Binary = binary
	opts.Dir = t.TempDir()
	opts.Document = c.text()
	opts.Models = []standin.EngineModel{{Model: "stylist", Version: "v1"}}
	if opts.Zones == nil {
		opts.Zones = []string{"a"}
		opts.RoutersPerZone = 3
	}
	if opts.EnginesPerZone == 0 {
		opts.EnginesPerZone = 4
	}
	edit := opts.ConfigureEngine
	opts.ConfigureEngine = func(e *standin.Engine) {
		e.ChecksFence = c.fencing != document.FencingIgnored
		e.LoadTime = 300 * time.Millisecond
		if edit != nil {
			edit(e)
		}
	}
	starting.Lock()
	defer starting.Unlock()
	bed, stop, err := testbed.Start(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient, err := engine.New(engine.Options{Clock: peridotusher.ClockFunc(time.Now)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	return &fleet{Bed: bed, t: t, client: client}
}

// updateConfig writes a changed configuration document.
func (f *fleet) updateConfig(c config) {
	f.t.Helper()
	if err := f.WriteDocument(c.text()); err != nil {
		f.t.Fatal(err)
	}
}

// wait waits until the condition holds.
func (f *fleet) wait(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(waitInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s\n%s\n%s", what, f.loadedVersions(), f.logs())
		}
	}
}

// logs returns the routers' log lines about orders, rollouts and engines.
func (f *fleet) logs() string {
	var text strings.Builder
	for _, r := range f.Routers {
		log, err := os.ReadFile(r.LogPath())
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, "order") || strings.Contains(line, "rollout") || strings.Contains(line, "engine is") || strings.Contains(line, "engine judged") || strings.Contains(line, "load report of") {
				text.WriteString(r.Name + ": " + line)
			}
		}
	}
	return text.String()
}

// versions lists the versions that the engine has loaded or is loading, separated by
// commas, and is "none" if the engine does not answer.
func (f *fleet) versions(e *testbed.Engine) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := f.client.State(ctx, e.Listener.Addr().String())
	if err != nil {
		return "none"
	}
	var names []string
	for _, v := range state.Versions() {
		if v.Ready {
			names = append(names, v.Version)
		} else {
			names = append(names, v.Version+" loading")
		}
	}
	return strings.Join(names, ",")
}

// loadedVersions lists the versions of every engine.
func (f *fleet) loadedVersions() string {
	var all []string
	for _, e := range f.Engines {
		all = append(all, e.Name+"="+f.versions(e))
	}
	return strings.Join(all, " ")
}

// allLoaded returns whether each of the engines has loaded the version and no other.
func (f *fleet) allLoaded(version string, engines ...*testbed.Engine) bool {
	for _, e := range engines {
		if f.versions(e) != version {
			return false
		}
	}
	return true
}

// orderApplied returns whether any engine has applied an order.
func (f *fleet) orderApplied() bool {
	for _, e := range f.Engines {
		if len(e.Stats().Fences) > 0 {
			return true
		}
	}
	return false
}

// leaseHolder returns the router that holds the lease for zone a's orders, or nil.
func (f *fleet) leaseHolder() *testbed.Router {
	client, closeClient, err := f.StoreClient()
	if err != nil {
		f.t.Fatal(err)
	}
	defer closeClient()
	entry, err := client.Get(context.Background(), ordersLeaseKey)
	if err != nil {
		f.t.Fatal(err)
	}
	name, _, _ := strings.Cut(string(entry.Value()), " ")
	for _, r := range f.Routers {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// checkFences checks that the fencing numbers of the orders that an engine applied
// never decrease, and that unloading a version aborted no request.
func (f *fleet) checkFences() {
	f.t.Helper()
	for _, e := range f.Engines {
		stats := e.Stats()
		for i := 1; i < len(stats.Fences); i++ {
			if stats.Fences[i] < stats.Fences[i-1] {
				f.t.Errorf("%s applied orders with the fencing numbers %v", e.Name, stats.Fences)
			}
		}
		if stats.UnloadCanceled != 0 {
			f.t.Errorf("%s aborted %d requests when it unloaded their version", e.Name, stats.UnloadCanceled)
		}
	}
}
