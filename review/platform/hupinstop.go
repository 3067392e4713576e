package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hup-in-stop"] = hupInStop }

// hupInStop stops one of three routers with SIGTERM while it forwards answers, and tells it 4.5 s
// later with SIGHUP that its settings file has changed. The others get none.
func hupInStop(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec)
	if err != nil {
		return "", err
	}
	defer f.end()
	if err := f.addReplicas("models", 3, 64, func(x *arrival) bool {
		x.ran("runs")
		return x.stream(58, 100*time.Millisecond) // 5.8 s
	}); err != nil {
		return "", err
	}
	if err := f.addReplicas("profiles", 3, 6, func(x *arrival) bool {
		x.ran("runs")
		if !x.sleep(15 * time.Millisecond) {
			return false
		}
		x.status(http.StatusOK, nil, []byte("saved "+x.id))
		x.ran("ran to its end")
		return true
	}); err != nil {
		return "", err
	}
	f.store.put("op/config", configuration(7, []string{"models", "profiles"}, []route{
		{Name: "chat", Host: host, Prefix: "/chat/", Service: "models", Kind: "streaming", TimeoutMs: 15000, TargetMs: 1000, GapMs: 600, MaxAttempts: 1},
		{Name: "save", Host: host, Prefix: "/save/", Service: "profiles", Kind: "non_idempotent", TimeoutMs: 1000, TargetMs: 120, MaxAttempts: 1},
	}))
	f.addRouters(3)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second) // all is calm
	stopped := f.routers[0]

	var wg sync.WaitGroup
	var streams []*attempt
	for i := range 10 {
		a := newAttempt(http.MethodPost, fmt.Sprintf("/chat/%d", i), 15000)
		a.body = `{"prompt":"does 38 fit?"}`
		streams = append(streams, a)
		wg.Add(1)
		go func() { defer wg.Done(); a.send(rec, stopped.front) }()
	}
	time.Sleep(500 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		f.writeSettings(stopped, "\n") // the changed settings
		if stopped.hasExited() {
			return "", fmt.Errorf("%s ended before the SIGHUP", stopped.name)
		}
		stopped.signal(syscall.SIGHUP)
	}
	wg.Wait()
	select {
	case <-stopped.exited:
	case <-time.After(10 * time.Second):
		stopped.signal(syscall.SIGKILL)
	}
	lost := 0
	for _, a := range streams {
		if !a.whole {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("%d of %d answers in flight were cut off 4.5 s after SIGTERM, %d s before the end of grace-s; the process ended with %q",
			lost, len(streams), 3, fmt.Sprint(stopped.exitErr)), nil
	}
	return "", nil
}
