package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/callers"
	"peridotusher.example/peridotusher/testbed"
)

// playCrowds is false in runs of all tests, since a crowd is played apart from other load.
var playCrowds = flag.Bool("crowds", false, "whether the tests whose names begin with TestCrowd run")

const (
	// crowdMemoryMB is the memory of the smallest host on which a router has to run beside a crowd.
	crowdMemoryMB = 256
	crowdSize     = 1500
	crowdDuration = 4 * time.Second
)

const chatHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"

// crowds are the crowds of callers, operators and others.
var crowds = []struct {
	name   string
	target func(r *testbed.Router) string
	crowd  callers.Crowd
}{
	{"short lines to the limit", callerAddress, callers.Crowd{Size: crowdSize, Start: chatHead + callers.ShortLines(15<<10) + "Content-Length: 900\r\n\r\n"}},
	{"short lines without end", callerAddress, callers.Crowd{Size: crowdSize, Start: chatHead, Filler: callers.ShortLines(30 << 10)}},
	{"heads that wait for their end", callerAddress, callers.Crowd{Size: crowdSize, Start: chatHead}},
	{"short lines to the operators' address", operatorAddress, callers.Crowd{Size: crowdSize / 3, Start: "GET /v1/status HTTP/1.1\r\n", Filler: callers.ShortLines(30 << 10), Length: 900 << 10}},
	{"connections to the operators' address", operatorAddress, callers.Crowd{Size: crowdSize, Start: "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"}},
	{"connections to the peers' address", func(r *testbed.Router) string { return r.Peer }, callers.Crowd{Size: crowdSize, Filler: strings.Repeat("\x00", 16<<10)}},
}

func callerAddress(r *testbed.Router) string { return strings.TrimPrefix(r.URL, "http://") }

func operatorAddress(r *testbed.Router) string { return strings.TrimPrefix(r.Operator, "http://") }

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	_, rest, ok := strings.Cut(string(data), "VmHWM:")
	if !ok {
		t.Fatal("the process has ended")
	}
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// TestCrowd guards against callers and others that end or block a router of the product by what they send or leave out: it uses
// more memory than a small host has, or an ordinary caller or operator gets no answer behind them.
func TestCrowd(t *testing.T) {
	if !*playCrowds {
		t.Skip("plays a crowd of clients, apart from other load: run with -crowds")
	}
	for _, tt := range crowds {
		t.Run(tt.name, func(t *testing.T) {
			router := startBed(t, 1, 1, tokenTime).Routers[0]
			ctx, disperse := context.WithTimeout(t.Context(), crowdDuration)
			defer disperse()
			var group errgroup.Group
			group.Go(func() error { return tt.crowd.Run(ctx, tt.target(router)) })
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
			if peak := peakMemoryMB(t, router.PID()); peak > crowdMemoryMB {
				t.Errorf("at most %d MB were resident, %d allowed", peak, crowdMemoryMB)
			} else {
				t.Logf("at most %d MB were resident", peak)
			}
			for _, address := range []string{router.URL + "/readyz", router.Operator + "/metrics"} {
				awaitOK(t, address)
			}
		})
	}
}

// awaitOK waits until a GET request is answered with 200, each time on a new connection.
func awaitOK(t *testing.T, address string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		resp, err := client.Get(address)
		if err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	t.Errorf("%s is not answered", address)
}
