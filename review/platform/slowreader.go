package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

// slowDial opens a channel with a small receive buffer, so that what the consumer doesn't read stays
// with the router.
func slowDial(front string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
	return d.Dial("tcp", front)
}

// pausingReader reads slowly: once it has some bytes it pauses.
type pausingReader struct {
	net.Conn
	after  int
	pause  time.Duration
	n      int
	paused bool
}

func (r *pausingReader) Read(b []byte) (int, error) {
	if r.n >= r.after && !r.paused {
		r.paused = true
		time.Sleep(r.pause)
	}
	n, err := r.Conn.Read(b[:min(len(b), 512)])
	r.n += n
	return n, err
}

// slowReader stops one of three routers with SIGTERM. Consumers go on sending to it for 2 s, as long as
// the platform needs for two questions, and read their answers slowly.
func slowReader(rec *recorder, trouble bool) (string, error) {
	const (
		events = 223             // 9.8 KB
		pause  = 4 * time.Second // of a reader
	)
	f, err := newFleet(rec)
	if err != nil {
		return "", err
	}
	defer f.end()
	if err := f.addReplicas("models", 3, 64, func(x *arrival) bool {
		x.ran("runs")
		return x.stream(events, time.Millisecond)
	}); err != nil {
		return "", err
	}
	f.store.put("op/config", configuration(7, []string{"models"}, []route{
		{Name: "recap", Host: host, Prefix: "/recap/", Service: "models", Kind: "streaming", TimeoutMs: 15000, TargetMs: 800, GapMs: 400, MaxAttempts: 1},
	}))
	f.addRouters(3)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second) // all is calm
	stopped := f.routers[0]
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	var list []*attempt
	for i := range 20 {
		time.Sleep(100 * time.Millisecond)
		a := newAttempt(http.MethodPost, fmt.Sprintf("/recap/%d", i), 15000)
		a.body = "{}"
		list = append(list, a)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := slowDial(stopped.front)
			if err != nil {
				a.err = err
				return
			}
			defer c.Close()
			a.sendOn(rec, c, bufio.NewReader(&pausingReader{Conn: c, after: 1000, pause: pause}))
		}()
	}
	wg.Wait()
	lost := 0
	for _, a := range list {
		if a.status != 0 && !a.whole && !a.deadlinePassed() {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("%d of %d answers that the replicas had made ended early", lost, len(list)), nil
	}
	return "", nil
}
