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
	// waitLimit bounds the wait for a condition.
	waitLimit = 60 * time.Second
	// waitInterval is the time between two looks at a condition.
	waitInterval = 50 * time.Millisecond
	// callerKey is the key of the only organisation.
	callerKey = "order-test-key"
	// holderKey is the store's key of the router that gives zone a's orders.
	holderKey = "peridotusher/orders/a"
)

var (
	long = flag.Bool("long", false, "run the slow cases and the measurements too")
	// binary is the program under test.
	binary string
	// starting is held while a bed chooses its addresses.
	starting sync.Mutex
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// needLong skips a case that only runs with -long.
func needLong(t *testing.T) {
	t.Helper()
	if !*long {
		t.Skip("runs with -long")
	}
}

// config is the part of the document that a test changes.
type config struct {
	fencing  document.Fencing
	versions string
	policy   string // more keys of [policy]
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

// fleet is a bed whose engines begin with version v1.
type fleet struct {
	*testbed.Bed
	t      *testing.T
	client *engine.Client
}

// startFleet starts a bed in one zone with three routers and four engines,
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

// write puts a changed document in force.
func (f *fleet) write(c config) {
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
			f.t.Fatalf("%s did not come about\n%s\n%s", what, f.held(), f.logs())
		}
	}
}

// logs returns the routers' log lines on orders, rollouts and engines.
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

// versions returns the versions that the engine is ready for, as text.
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

// held returns the versions of all engines.
func (f *fleet) held() string {
	var all []string
	for _, e := range f.Engines {
		all = append(all, e.Name+"="+f.versions(e))
	}
	return strings.Join(all, " ")
}

// allHold returns whether each of the engines holds exactly the version.
func (f *fleet) allHold(version string, engines ...*testbed.Engine) bool {
	for _, e := range engines {
		if f.versions(e) != version {
			return false
		}
	}
	return true
}

// begun returns whether an engine has got an order.
func (f *fleet) begun() bool {
	for _, e := range f.Engines {
		if len(e.Stats().Fences) > 0 {
			return true
		}
	}
	return false
}

// holder returns the router that holds the lease of zone a's orders.
func (f *fleet) holder() *testbed.Router {
	client, closeClient, err := f.StoreClient()
	if err != nil {
		f.t.Fatal(err)
	}
	defer closeClient()
	entry, err := client.Get(context.Background(), holderKey)
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

// checkFences checks that every engine applied orders of rising fencing
// numbers and cut no request.
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
			f.t.Errorf("%s cut %d requests when it unloaded their version", e.Name, stats.UnloadCanceled)
		}
	}
}
