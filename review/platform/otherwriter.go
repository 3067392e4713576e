package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["other-writer"] = otherWriter }

// otherWriter lets another writer put an entry without the field version under servers/. At its
// address is a server of that writer, which is no replica and answers every request with 404.
func otherWriter(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec)
	if err != nil {
		return "", err
	}
	defer f.end()
	if err := f.addReplicas("profiles", 3, 6, func(x *arrival) bool {
		x.ran("runs")
		x.status(http.StatusOK, nil, []byte("saved "+x.id))
		return true
	}); err != nil {
		return "", err
	}
	f.store.put("op/config", configuration(7, []string{"profiles"}, []route{
		{Name: "save", Host: host, Prefix: "/save/", Service: "profiles", Kind: "non_idempotent", TimeoutMs: 1000, TargetMs: 120, MaxAttempts: 1},
	}))
	l, err := net.Listen("tcp", f.block+".150:0")
	if err != nil {
		return "", err
	}
	var foreign atomic.Int64
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			foreign.Add(1)
			rec.add("the other writer's server gets request %s (%s %s) and answers 404", r.Header.Get("X-Attempt-Id"), r.Method, r.URL.Path)
			http.NotFound(w, r)
		}))
	}()
	f.addRouters(3)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		// PROTOCOL.md lists service, addr, zone, version, slots, state, cold-remaining-ms and seq.
		text, _ := json.Marshal(map[string]any{"service": "profiles", "addr": l.Addr().String(), "zone": "zone-a", "slots": 6, "state": "ready", "cold-remaining-ms": 0, "seq": 1})
		f.store.put("servers/i-other", text)
		rec.add("another writer puts servers/i-other: %s", text)
	}
	time.Sleep(3 * time.Second)
	const requests = 200
	denied := 0
	for i := range requests {
		a := newAttempt(http.MethodPost, fmt.Sprintf("/save/%d", i), 1000)
		a.body = "{}"
		a.send(rec, f.routers[i%3].front)
		if a.status/100 == 4 && a.sig == "" {
			denied++
		}
	}
	rec.add("%d of %d requests answered 404 without a replica's signature, %d at the other writer's server", denied, requests, foreign.Load())
	if float64(denied) > 5+float64(requests)/500 {
		return fmt.Sprintf("%d of %d proper requests were answered 404 without a replica's signature", denied, requests), nil
	}
	return "", nil
}
