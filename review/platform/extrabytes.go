package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["extra-bytes"] = extraBytes }

// runs counts the runs of requests by their ids.
type runs struct {
	mu   sync.Mutex
	byID map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]int{}
	}
	r.byID[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// extraBytes lets one of three replicas send additional bytes after one in 34 of its complete
// responses. They arrive late, at the point where the next response is expected on the channel.
func extraBytes(rec *recorder, trouble bool) (string, error) {
	const extra = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\nservice unavailable\n"
	f, err := newFleet(rec)
	if err != nil {
		return "", err
	}
	defer f.end()
	var (
		ran      runs
		mu       sync.Mutex
		pending  = map[net.Conn]bool{} // channels on which additional bytes are due
		complete int
		faulty   bool
	)
	if err := f.addReplicas("profiles", 3, 6, func(x *arrival) bool {
		mu.Lock()
		due := pending[x.conn]
		delete(pending, x.conn)
		mu.Unlock()
		if due {
			rec.add("replica %s sends bytes that belong to no request: a 503 without X-Attempt-Id, X-Replica-Signature and X-Not-Executed", x.replica.id)
			_, _ = io.WriteString(x.conn, extra)
		}
		x.ran("runs")
		ran.add(x.id)
		time.Sleep(15 * time.Millisecond)
		x.status(http.StatusOK, nil, []byte("saved "+x.id))
		mu.Lock()
		if faulty && x.replica == f.replicas[0] {
			if complete++; complete%34 == 0 {
				pending[x.conn] = true
			}
		}
		mu.Unlock()
		return true
	}); err != nil {
		return "", err
	}
	f.store.put("op/config", configuration(7, []string{"profiles"}, []route{
		{Name: "save", Host: host, Prefix: "/save/", Service: "profiles", Kind: "non_idempotent", TimeoutMs: 1000, TargetMs: 120, MaxAttempts: 1},
	}))
	f.addRouters(3)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var list []*attempt
	began := time.Now()
	for i := 0; time.Since(began) < 9*time.Second; i++ {
		mu.Lock()
		faulty = trouble && time.Since(began) > 2*time.Second && time.Since(began) < 7*time.Second // for_s 5
		mu.Unlock()
		a := newAttempt(http.MethodPost, fmt.Sprintf("/save/%d", i), 1000)
		a.body = `{"chest":96}`
		list = append(list, a)
		wg.Add(1)
		go func() { defer wg.Done(); a.send(rec, f.routers[i%3].front) }()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	refused := 0
	for _, a := range list {
		if (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) && ran.of(a.id) > 0 {
			refused++
			rec.add("request %s was answered %d and has run", a.id, a.status)
		}
	}
	if refused > 0 {
		return fmt.Sprintf("%d of %d non-idempotent requests were answered 503 and have run", refused, len(list)), nil
	}
	return "", nil
}
