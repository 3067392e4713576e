package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["scale-in"] = scaleIn }

// scaleIn takes one of four replicas away as planned while streams run at it. Their answers have no
// length and end with their channels.
func scaleIn(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec)
	if err != nil {
		return "", err
	}
	defer f.end()
	if err := f.addReplicas("models", 4, 64, func(x *arrival) bool {
		x.ran("runs")
		n, pause := 58, 100*time.Millisecond
		if x.URL.Path == "/chat/first" {
			n, pause = 1, 10*time.Millisecond
		}
		x.head(http.StatusOK, "Content-Type: text/event-stream", "Connection: close")
		for i := 1; i <= n; i++ {
			if !x.sleep(pause) {
				x.ran("dropped")
				return false
			}
			fmt.Fprintf(x.conn, "id: %d\ndata: piece %d of %s\n\n", i, i, x.id)
		}
		x.ran("ran to its end")
		return false // ends the channel
	}); err != nil {
		return "", err
	}
	f.store.put("op/config", configuration(7, []string{"models"}, []route{
		{Name: "chat", Host: host, Prefix: "/chat/", Service: "models", Kind: "streaming", TimeoutMs: 15000, TargetMs: 1000, GapMs: 600, MaxAttempts: 1},
	}))
	f.addRouters(3)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var list []*attempt
	var mu sync.Mutex
	for i := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", f.routers[i%3].front)
			if err != nil {
				return
			}
			defer c.Close()
			br := bufio.NewReader(c)
			first := newAttempt(http.MethodPost, "/chat/first", 15000)
			first.sendOn(rec, c, br)
			a := newAttempt(http.MethodPost, fmt.Sprintf("/chat/%d", i), 15000)
			mu.Lock()
			list = append(list, a)
			mu.Unlock()
			a.sendOn(rec, c, br)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		leaving := f.replicas[0]
		leaving.leave()
		rec.add("replica %s reports draining", leaving.id)
		time.Sleep(4 * time.Second) // drain-ms and a little longer
		_ = leaving.listener.Close()
		f.store.remove("servers/" + leaving.id)
		rec.add("replica %s takes no new channels, ends its requests and exits", leaving.id)
	}
	wg.Wait()
	lost := 0
	for _, a := range list {
		if !a.whole {
			lost++
		}
	}
	if lost > 3 {
		return fmt.Sprintf("%d of %d answers that sound replicas had ended were cut off by closing their kept channels", lost, len(list)), nil
	}
	return "", nil
}
