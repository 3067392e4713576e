package hosts_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/hosts"
	"peridotusher.example/peridotusher/standin"
)

// start runs the server until the end of the test and returns its URL.
func start(t testing.TB, server *standin.Hosts) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return "http://" + listener.Addr().String() + "/hosts"
}

// host returns a live engine in zone a.
func host(t *testing.T, name, address string) hosts.Host {
	t.Helper()
	labels := map[string]string{"name": name, "kind": "engine", "zone": "a", "state": "live", "model": "sizer"}
	h, err := hosts.NewHost(address, labels)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestListLags checks that the client sees changes of the list only after the server's lag.
func TestListLags(t *testing.T) {
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	advance := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(d)
	}
	clock := peridotusher.ClockFunc(func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	})
	server := &standin.Hosts{Clock: clock, Delay: 3 * time.Second}
	client := &hosts.Client{URL: start(t, server)}
	check := func(when string, want ...string) {
		t.Helper()
		list, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, h := range list {
			got = append(got, fmt.Sprint(h.Name(), " ", h.Kind(), " ", h.Zone(), " ", h.Address(), " ", h.State(), " ", h.Label("model")))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", when, diff)
		}
	}
	server.Set(host(t, "b", "192.0.2.2:80"))
	server.Set(host(t, "a", "192.0.2.1:80"))
	advance(2 * time.Second)
	check("before the lag")
	advance(time.Second)
	server.SetState("a", hosts.StateLeaving)
	server.Remove("b")
	check("after the lag", "a engine a 192.0.2.1:80 live sizer", "b engine a 192.0.2.2:80 live sizer")
	advance(3 * time.Second)
	check("after another lag", "a engine a 192.0.2.1:80 leaving sizer")
}

func TestUnchangedListIsNotTransferred(t *testing.T) {
	server := &standin.Hosts{}
	server.Set(host(t, "a", "192.0.2.1:80"))
	transport := &countingTransport{}
	client := &hosts.Client{URL: start(t, server), HTTP: &http.Client{Transport: transport}}
	list := func() []hosts.Host {
		t.Helper()
		all, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return all
	}
	first, second := list(), list()
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("unchanged list (-first +second):\n%s", diff)
	}
	server.Set(host(t, "b", "192.0.2.2:80"))
	if got := len(list()); got != 2 {
		t.Errorf("%d hosts after a change, want 2", got)
	}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusNotModified, http.StatusOK}, transport.statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

// countingTransport records the statuses of the answers.
type countingTransport struct{ statuses []int }

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		c.statuses = append(c.statuses, resp.StatusCode)
	}
	return resp, err
}

func TestNewHostRefusesMalformedHosts(t *testing.T) {
	tests := []struct{ address, name, state string }{
		{"host.example:80", "a", "live"},
		{"192.0.2.1", "a", "live"},
		{"192.0.2.1:80", "", "live"},
		{"192.0.2.1:80", "a", "gone"},
	}
	for _, test := range tests {
		labels := map[string]string{"name": test.name, "state": test.state}
		if h, err := hosts.NewHost(test.address, labels); err == nil {
			t.Errorf("NewHost(%+v) = %+v, want an error", test, h)
		}
	}
}

// awaitReads waits until the list was read three more times.
func awaitReads(ctx context.Context, server *standin.Hosts) {
	const reads = 3
	for calls := server.Calls(); server.Calls() < calls+reads && ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
}

func TestRunKeepsListDuringOutage(t *testing.T) {
	server := &standin.Hosts{}
	server.Set(host(t, "a", "192.0.2.1:80"))
	const buffered = 100 // so that Run does not block on lists that it must not report
	lists := make(chan []hosts.Host, buffered)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := &hosts.Client{
		URL:      start(t, server),
		Interval: time.Millisecond,
		Changed: func(list []hosts.Host) {
			select {
			case lists <- list:
			case <-ctx.Done():
			}
		},
	}
	var group errgroup.Group
	group.Go(func() error { return client.Run(ctx) })
	want := []hosts.Host{host(t, "a", "192.0.2.1:80")}
	if diff := cmp.Diff(want, <-lists); diff != "" {
		t.Errorf("first list (-want +got):\n%s", diff)
	}
	awaitReads(ctx, server)
	server.SetDown(true)
	awaitReads(ctx, server)
	server.Set(host(t, "b", "192.0.2.2:80"))
	server.SetDown(false)
	want = append(want, host(t, "b", "192.0.2.2:80"))
	if diff := cmp.Diff(want, <-lists); diff != "" {
		t.Errorf("list after the outage (-want +got):\n%s", diff)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
