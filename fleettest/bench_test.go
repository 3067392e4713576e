package fleettest

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/testbed"
)

const (
	// inForceLimit is the time within which an accepted edit is in force everywhere.
	inForceLimit = 4 * time.Second
	// waitLimit bounds waits whose length is not judged.
	waitLimit     = 30 * time.Second
	probeInterval = 5 * time.Millisecond
	probeTimeout  = time.Second
)

var long = flag.Bool("long", false, "run the long part and the figures")

// binary is the program that all tests run.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// bench is a bed with an editor of its document.
type bench struct {
	*testbed.Bed
	t      testing.TB
	editor *config.Editor
	next   int
}

// startBench runs two routers in each of three zones.
func startBench(t testing.TB, set func(*testbed.Options)) *bench {
	t.Helper()
	opts := testbed.Options{Binary: binary, Dir: t.TempDir(), EnginesPerZone: 1}
	if set != nil {
		set(&opts)
	}
	bed, stop, err := testbed.Start(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient, err := bed.StoreClient()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	clock := peridotusher.ClockFunc(time.Now)
	return &bench{Bed: bed, t: t, editor: &config.Editor{Store: client, Prefix: testbed.Prefix, Clock: clock}}
}

// add adds an organisation to the document and returns its bearer key.
func (b *bench) add() string {
	b.t.Helper()
	b.next++
	key := fmt.Sprintf("probe-key-%d", b.next)
	header := fmt.Sprintf("organisation probe-%d", b.next)
	text := fmt.Sprintf("[%s]\nkeys = %s\n", header, document.HashKey(key))
	b.apply(config.Edit{Header: header, Text: text})
	return key
}

// apply makes edits as the platform's operators.
func (b *bench) apply(edits ...config.Edit) config.Accepted {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	done, err := b.editor.Apply(ctx, config.Credentials{Key: testbed.OperatorKey}, edits)
	if err != nil {
		b.t.Fatal(err)
	}
	return done
}

// accepts reports whether a router's configuration knows the key.
func accepts(r *testbed.Router, key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.URL+"/v1/models", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inForce waits until the routers know the key and returns the time it took.
func (b *bench) inForce(key string, limit time.Duration, routers ...*testbed.Router) time.Duration {
	b.t.Helper()
	began := time.Now()
	for _, r := range routers {
		for !accepts(r, key) {
			if time.Since(began) > limit {
				b.t.Fatalf("%s does not know the organisation after %v: %s", r.Name, limit, r.LogTail())
			}
			time.Sleep(probeInterval)
		}
	}
	return time.Since(began)
}

// ofZone returns the routers of the zone, or of all others.
func (b *bench) ofZone(zone string, inside bool) []*testbed.Router {
	var list []*testbed.Router
	for _, r := range b.Routers {
		if (r.Zone == zone) == inside {
			list = append(list, r)
		}
	}
	return list
}

// refuses fails the test if a router knows the key.
func (b *bench) refuses(key string, routers ...*testbed.Router) {
	b.t.Helper()
	for _, r := range routers {
		if accepts(r, key) {
			b.t.Errorf("%s knows an organisation that it cannot have heard of", r.Name)
		}
	}
}
