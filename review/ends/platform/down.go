package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// downExit: a replica reports that it drains, the store falls silent, and the replica exits as planned. It closes its
// listener, ends the answers that it still sends and is gone.
func downExit(f *fleet, trouble bool) (bool, error) {
	if err := f.begin(3, routeConfig(3, route("s", "/s/", "streaming", 1), route("r", "/w/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	const (
		callers = 60
		first   = "/w/x?pieces=1&frame=length" // makes the channel a kept one
		served  = 2200 * time.Millisecond      // after the report
	)
	targets := []string{"/w/x?pieces=70&gap=50&bytes=3000&frame=close", "/s/x?pieces=70&gap=50&bytes=120&frame=close&kind=stream"}
	var lost [2]atomic.Int64 // by target
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			if f.closedWithout(n, f.routers[n%3].clients, first, targets[n%2]) {
				lost[n%2].Add(1)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	f.drain("i-0")
	if trouble {
		f.store.down.Store(true)
		f.record.add("the store falls silent")
	}
	time.Sleep(served)
	_ = f.replicas["i-0"].stdin.Close() // it exits as planned
	group.Wait()
	f.store.down.Store(false)
	f.record.add("channels closed without the end of a whole answer: %d of a non_idempotent route, %d streams", lost[0].Load(), lost[1].Load())
	return lost[0].Load()+lost[1].Load() > 3, nil
}

// closedWithout sends two requests on one channel and reports whether it was closed without the end of the
// second one's answer.
func (f *fleet) closedWithout(caller int, addr string, targets ...string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	var last reply
	for i, target := range targets {
		c := call{id: fmt.Sprintf("%08x%08x", caller, i), method: http.MethodGet, target: target, host: "h.example", timeout: 15 * time.Second}
		if write(conn, c) != nil {
			return false
		}
		last = read(br, c)
		f.record.add("consumer: %s %s answered %d whole %v bytes %d %v", c.id, target, last.status, last.complete, len(last.body), errorText(last.err))
	}
	return last.status == http.StatusOK && !last.complete
}
