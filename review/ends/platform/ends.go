package main

import (
	"bytes"
	"fmt"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// routeConfig returns a configuration with routes to one service.
func routeConfig(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "svc", "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// route returns a route.
func route(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 15000, "target-latency-ms": 1000,
		"priority": 1, "service": "svc", "max-attempts": attempts, "public": true, "sticky": false, "stream-resume": false, "gap-target-ms": 600,
	}
}

// replicas is the number of replicas of the service.
const replicas = 6

// startNth starts the n-th replica.
func (f *fleet) startNth(n int) error {
	_, err := f.startReplica(fmt.Sprintf("i-%d", n), "svc", []string{"za", "zb", "zc"}[n%3], n)
	return err
}

// begin starts the replicas and routers.
func (f *fleet) begin(routers int, config map[string]any) error {
	f.store.put("op/config", config)
	for n := range replicas {
		if err := f.startNth(n); err != nil {
			return err
		}
	}
	for n := range routers {
		if _, err := f.startRouter(n); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // until the routers have been in touch for the stable window
	return nil
}

// wholeAnswer returns the body of the whole answer to a target.
func wholeAnswer(target string) []byte {
	u, _ := url.Parse(target)
	q := u.Query()
	var b bytes.Buffer
	for n := 1; n <= number(q, "pieces", 1); n++ {
		b.WriteString(piece(q, n))
	}
	return b.Bytes()
}

// truncated reports whether an answer looks like a complete success, but is not the replica's whole
// body.
func truncated(f *fleet, target string, r reply) bool {
	bad := r.status/100 == 2 && r.complete && !bytes.Equal(r.body, wholeAnswer(target))
	if bad {
		f.record.add("MIXED: a complete answer %d with %d of the replica's %d bytes", r.status, len(r.body), len(wholeAnswer(target)))
	}
	return bad
}

// longAnswer is the target of a request whose answer takes 8 s and ends with its connection.
const longAnswer = "/w/x?pieces=80&gap=100&bytes=200&frame=close"

// drainCrash: a replica that goes on serving while it drains crashes in the middle of answers.
func drainCrash(f *fleet, trouble bool) (bool, error) {
	if err := f.begin(3, routeConfig(3, route("r", "/w/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	replies := make(chan reply)
	const calls = 18
	for n := range calls {
		go func() {
			replies <- f.send(f.routers[n%3].clients, call{method: "GET", target: longAnswer, host: "h.example"})
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f.drain("i-0")
	time.Sleep(4 * time.Second)
	if trouble {
		f.record.add("i-0 is killed")
		f.replicas["i-0"].kill()
	} else {
		_ = f.replicas["i-0"].stdin.Close()
	}
	bad := false
	for range calls {
		bad = truncated(f, longAnswer, <-replies) || bad
	}
	return bad, nil
}

// freezeCrash: a replica crashes and starts again while a router stands still.
func freezeCrash(f *fleet, trouble bool) (bool, error) {
	if err := f.begin(3, routeConfig(3, route("r", "/w/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	replies := make(chan reply)
	const calls = 12
	for range calls {
		go func() {
			replies <- f.send(f.routers[0].clients, call{method: "GET", target: longAnswer, host: "h.example"})
		}()
	}
	time.Sleep(time.Second)
	if trouble {
		f.record.add("router 0 freezes")
		f.routers[0].signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		p := f.replicas["i-0"]
		p.kill()
		f.record.add("i-0 is killed")
		f.beats["i-0"].end()
		time.Sleep(2 * time.Second)
		if err := f.startNth(0); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		f.routers[0].signal(syscall.SIGCONT)
		f.record.add("router 0 goes on")
	}
	bad := false
	for range calls {
		bad = truncated(f, longAnswer, <-replies) || bad
	}
	return bad, nil
}

// errorCrash: a replica crashes in the middle of answers with a status of failure.
func errorCrash(f *fleet, trouble bool) (bool, error) {
	if err := f.begin(3, routeConfig(3, route("r", "/w/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	const (
		target = "/w/x?pieces=10&gap=40&bytes=120&frame=close&status=500"
		calls  = 400 // in 2 s, so that about 15 are at a replica
	)
	replies := make(chan reply)
	for n := range calls {
		go func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			replies <- f.send(f.routers[n%3].clients, call{method: "GET", target: target, host: "h.example"})
		}()
	}
	if trouble {
		time.Sleep(1100 * time.Millisecond)
		f.record.add("i-0 is killed")
		f.replicas["i-0"].kill()
	}
	bad := false
	for range calls {
		r := <-replies
		if r.complete && r.header.Get("X-Replica-Signature") != "" && !bytes.Equal(r.body, wholeAnswer(target)) {
			f.record.add("MIXED: a complete answer %d with %d of the replica's %d bytes", r.status, len(r.body), len(wholeAnswer(target)))
			bad = true
		}
	}
	return bad, nil
}

// crash: a replica crashes in the middle of answers, four times, each time another one.
func crash(f *fleet, trouble bool) (bool, error) {
	stream := route("s", "/s/", "streaming", 2)
	stream["stream-resume"] = true
	if err := f.begin(3, routeConfig(3, route("r", "/w/", "non_idempotent", 1), stream)); err != nil {
		return false, err
	}
	targets := []string{"/w/x?pieces=20&gap=50&bytes=120&frame=close", "/s/x?pieces=20&gap=50&bytes=120&frame=close&kind=stream"}
	const (
		callers = 240 // 40 at a replica, of 64 slots
		crashes = 4
		down    = 2 * time.Second
	)
	end := time.Now().Add(20 * time.Second)
	var bad atomic.Int64
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				target := targets[n%2]
				r := f.send(f.routers[n%3].clients, call{method: "GET", target: target, host: "h.example"})
				if truncated(f, target, r) {
					bad.Add(1)
				}
				if r.status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	for n := 0; trouble && n < crashes; n++ {
		time.Sleep(2 * time.Second)
		id := fmt.Sprintf("i-%d", n)
		f.record.add("%s crashes", id)
		f.replicas[id].kill()
		f.beats[id].end()
		time.Sleep(down)
		if err := f.startNth(n); err != nil {
			return false, err
		}
	}
	group.Wait()
	f.record.add("%d truncated answers looked whole", bad.Load())
	return bad.Load() > 0, nil
}
