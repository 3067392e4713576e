package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["entry"] = playForeignEntry }

// foreignServer stands in for another writer's server. It is no replica and knows none of the platform's headers;
// it runs what it is sent, as any HTTP server does.
type foreignServer struct {
	mu   sync.Mutex
	runs []run
	// seen are the tenants and bodies that it was sent.
	tenants, bodies int
}

// ServeHTTP implements http.Handler.
func (f *foreignServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // what has come
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{replica: "foreign", attempt: r.Header.Get("X-Attempt-Id"), operation: r.URL.Path, at: time.Now()})
	if r.Header.Get("X-Tenant") != "" {
		f.tenants++
	}
	if len(body) > 0 {
		f.bodies++
	}
	_, _ = io.WriteString(w, "done\n") // the caller has left
}

// playForeignEntry has another writer put one entry that lacks cold-remaining-ms. With FIELD=type the field is there
// and a text; with FIELD=name the field is there, and all others have names that begin with a capital.
func playForeignEntry(s *stage) (bool, error) {
	runs := &ledger{}
	save := route("r-save", "/save/", "non_idempotent", 1000, 1)
	save["public"] = false
	s.putVersion(7, oneTenant(heldKey), save)
	if _, err := s.startReplicas(3, 6, runs, func(_ *replica, r *http.Request) reply {
		return reply{status: http.StatusOK, work: 15 * time.Millisecond, body: "saved " + r.URL.Path}
	}); err != nil {
		return false, err
	}
	seeds := []string{hostIP(1), hostIP(2), hostIP(3)}
	routers, err := s.startFleet(3, seeds)
	if err != nil {
		return false, err
	}
	l, err := s.listen("127.0.79.1:0")
	if err != nil {
		return false, err
	}
	foreign := &foreignServer{}
	go func() { _ = http.Serve(l, foreign) }() // ends with the listener
	if s.trouble {
		entry := map[string]any{
			"service": plainService, "addr": l.Addr().String(), "zone": "zone-b", "version": "v1", "slots": 6, "state": "ready", "seq": 1,
		}
		switch os.Getenv("FIELD") {
		case "type":
			entry["cold-remaining-ms"] = "soon"
		case "name": // no field is named as the pages name it, except for one
			entry = map[string]any{
				"Service": plainService, "Addr": l.Addr().String(), "Zone": "zone-b", "Version": "v1", "Slots": 6, "State": "ready", "Seq": 1,
				"cold-remaining-ms": 0,
			}
		}
		s.store.put("servers/other-writer-1", entry)
		s.say("another writer has put an entry")
	}
	time.Sleep(3 * time.Second)
	c := newClients(routers...)
	c.pace(40, 8*time.Second, func(i int) {
		c.sendWithKey(routers[i%len(routers)], http.MethodPost, fmt.Sprintf("/save/%d", i), "measurements", time.Second, heldKey)
	})
	foreign.mu.Lock()
	defer foreign.mu.Unlock()
	for _, r := range runs.all() {
		s.note("replica %s attempt %s %s not-run %v", r.replica, r.attempt, r.operation, r.notRun)
	}
	for _, r := range foreign.runs {
		s.note("ROUTE: the other writer's server ran attempt %s %s", r.attempt, r.operation)
	}
	for _, a := range c.all() {
		s.note("client attempt %s %s at %s status %d", a.attempt, a.operation, a.router, a.status)
	}
	s.say("%d attempts, answers by status %s", len(c.all()), countByStatus(c.all()))
	s.say("run by a server that is no replica: %d, with a tenant's name %d, with a body %d", len(foreign.runs), foreign.tenants, foreign.bodies)
	return len(foreign.runs) > 0, nil
}
