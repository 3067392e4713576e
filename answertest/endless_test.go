package answertest

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/hosts"
	"peridotusher.example/peridotusher/soak"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// TestEndlessEnginesLeaveMemory guards against a router process that keeps what engines send without
// end, in a head or a body, and runs out of memory. Requests must be served meanwhile.
func TestEndlessEnginesLeaveMemory(t *testing.T) {
	const maxResident = 256 << 20 // of a router, by the users' target
	bed := start(t, testbed.Options{Zones: []string{"a"}, RoutersPerZone: 1, EnginesPerZone: 2})
	const ok = "HTTP/1.1 200 OK\r\n"
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	t.Cleanup(func() { _ = group.Wait() }) // its functions return no errors
	t.Cleanup(cancel)
	for i, answer := range [][2]string{
		{"", "z"}, {ok + "A: ", "a"}, {ok, "A: aaaaaaaaaaaaa\r\n"}, {"", "HTTP/1.1 102 Wait\r\n\r\n"}, {ok + "\r\n", "a"}, {ok + "\r\n", ": a\n\n"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := &standin.Endless{Listener: l, Text: answer[0], Filler: answer[1]}
		group.Go(func() error { return e.Run(ctx) })
		if err := bed.List(fmt.Sprintf("endless-%d", i), hosts.KindEngine, "a", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	client := newHTTPClient()
	router := bed.Routers[0]
	var largest int64
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if reply := save(context.Background(), client, router.URL, "/profiles/1", newKey(t), []byte("waist")); !reply.OK() {
			t.Errorf("a call was answered with %+v", reply)
		}
		usage, err := soak.ReadUsage(router.PID(), router.Operator)
		if err != nil {
			t.Fatalf("the router ended: %v", err)
		}
		largest = max(largest, usage.Resident)
	}
	t.Logf("resident memory up to %d KB", largest>>10)
	if largest > maxResident {
		t.Errorf("resident memory up to %d KB, want %d KB at most", largest>>10, maxResident>>10)
	}
}
