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
	// maxInForceTime is the time within which an accepted edit must be in force everywhere.
	maxInForceTime = 4 * time.Second
	// waitTimeout bounds waits whose duration is not checked.
	waitTimeout   = 30 * time.Second
	probeInterval = 5 * time.Millisecond
	probeTimeout  = time.Second
)

var long = flag.Bool("long", false, "run the long tests and the measurements")

// binary is the path of the router program under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(testbed.RunTests(m, &binary))
}

// fleet is a test bed with an editor of its configuration document.
type fleet struct {
	*testbed.Bed
	t      testing.TB
	editor *config.Editor
	next   int
}

// startFleet starts a fleet, by default of two routers in each of three zones.
func startFleet(t testing.TB, set func(*testbed.Options)) *fleet {
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
	return &fleet{Bed: bed, t: t, editor: &config.Editor{Store: client, Prefix: testbed.Prefix, Clock: clock}}
}

// addOrganisation adds an organisation to the configuration and returns its bearer key.
func (b *fleet) addOrganisation() string {
	b.t.Helper()
	b.next++
	key := fmt.Sprintf("probe-key-%d", b.next)
	header := fmt.Sprintf("organisation probe-%d", b.next)
	text := fmt.Sprintf("[%s]\nkeys = %s\n", header, document.HashKey(key))
	b.applyEdits(config.Edit{Header: header, Text: text})
	return key
}

// applyEdits edits the configuration with the operators' key.
func (b *fleet) applyEdits(edits ...config.Edit) config.Accepted {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	done, err := b.editor.Apply(ctx, config.Credentials{Key: testbed.OperatorKey}, edits)
	if err != nil {
		b.t.Fatal(err)
	}
	return done
}

// acceptsKey reports whether a router accepts the key, as its configuration contains it.
func acceptsKey(r *testbed.Router, key string) bool {
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

// waitInForce waits until the routers accept the key and returns the time that it took.
func (b *fleet) waitInForce(key string, limit time.Duration, routers ...*testbed.Router) time.Duration {
	b.t.Helper()
	began := time.Now()
	for _, r := range routers {
		for !acceptsKey(r, key) {
			if time.Since(began) > limit {
				b.t.Fatalf("%s does not accept the organisation's key after %v: %s", r.Name, limit, r.LogTail())
			}
			time.Sleep(probeInterval)
		}
	}
	return time.Since(began)
}

// routersOfZone returns the routers inside the zone, or those outside it.
func (b *fleet) routersOfZone(zone string, inside bool) []*testbed.Router {
	var list []*testbed.Router
	for _, r := range b.Routers {
		if (r.Zone == zone) == inside {
			list = append(list, r)
		}
	}
	return list
}

// checkUnknown fails the test if a router accepts the key.
func (b *fleet) checkUnknown(key string, routers ...*testbed.Router) {
	b.t.Helper()
	for _, r := range routers {
		if acceptsKey(r, key) {
			b.t.Errorf("%s accepts the key of an organisation that it cannot have received", r.Name)
		}
	}
}
