package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainService is the name of the service in all cases.
const plainService = "profile-api"

// run is one run of a request at a replica.
type run struct {
	replica, attempt, operation string
	at                          time.Time
	status                      int
	notRun                      bool
}

// ledger holds what reached the replicas of a service.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

// add records a run or a refusal.
func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns what was recorded.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// reply is what a replica answers to a request that it has accepted.
type reply struct {
	status int
	notRun bool          // the request is refused and does not run
	work   time.Duration // before the answer
	body   string
	// pieces are written without a length, with pause between them; the answer ends with its channel.
	pieces []string
	pause  time.Duration
}

// replica stands in for a replica of a plain service.
type replica struct {
	id    string
	zone  string
	slots int
	runs  *ledger
	// answer decides on a request. It is called once for each that arrives.
	answer func(r *http.Request) reply

	address string
	seq     atomic.Int64
	running atomic.Int64
	waiting atomic.Int64
	places  chan struct{}
}

// queueLength is how many requests wait at a replica beyond its slots.
const queueLength = 24

// entry returns the replica's entry in the store.
func (p *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": plainService, "addr": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": state, "cold-remaining-ms": 0, "seq": p.seq.Add(1),
	}
}

// serve accepts connections until the listener is closed.
func (p *replica) serve(l net.Listener) {
	p.places = make(chan struct{}, p.slots)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serveConn(c)
	}
}

// serveConn handles the requests of a connection, one after the other.
func (p *replica) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !p.handle(c, r) {
			return
		}
	}
}

// load returns the value of X-Replica-Load.
func (p *replica) load() string {
	return fmt.Sprintf("%d,%d,%d", p.running.Load(), p.waiting.Load(), p.slots)
}

// handle answers a request and reports whether the connection is kept.
func (p *replica) handle(c net.Conn, r *http.Request) (keep bool) {
	attempt := r.Header.Get("X-Attempt-Id")
	switch {
	case r.URL.Path == "/health":
		return writeAnswer(c, http.StatusOK, "", "X-Replica-Id: "+p.id, "X-Replica-Load: "+p.load())
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return writeAnswer(c, http.StatusNotFound, "")
	case r.Header.Get("X-Expect-Replica") != "" && r.Header.Get("X-Expect-Replica") != p.id:
		return writeAnswer(c, http.StatusMisdirectedRequest, "", "X-Replica-Id: "+p.id)
	case attempt == "":
		return writeAnswer(c, http.StatusBadRequest, "", "X-Not-Executed: 1")
	}
	own := []string{"X-Attempt-Id: " + attempt}
	a := p.answer(r)
	if a.notRun || p.waiting.Load() >= queueLength {
		p.runs.add(run{replica: p.id, attempt: attempt, operation: r.URL.Path, at: time.Now(), status: http.StatusServiceUnavailable, notRun: true})
		return writeAnswer(c, http.StatusServiceUnavailable, "", append(own, "X-Not-Executed: 1", "X-Replica-Load: "+p.load())...)
	}
	p.waiting.Add(1)
	p.places <- struct{}{}
	p.waiting.Add(-1)
	p.running.Add(1)
	defer func() {
		p.running.Add(-1)
		<-p.places
	}()
	p.runs.add(run{replica: p.id, attempt: attempt, operation: r.URL.Path, at: time.Now(), status: a.status})
	time.Sleep(a.work)
	own = append(own, "X-Replica-Load: "+p.load())
	if a.pieces != nil {
		writeUnframed(c, a, append(own, "X-Replica-Signature: "+signature(strings.Join(a.pieces, "")))...)
		return false
	}
	return writeAnswer(c, a.status, a.body, append(own, "X-Replica-Signature: "+signature(a.body))...)
}

// signature stands for the replica's MAC of a body.
func signature(body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body) // a hash never returns an error
	return fmt.Sprintf("%016x", h.Sum64())
}

// writeAnswer writes an answer with a length.
func writeAnswer(c net.Conn, status int, body string, header ...string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, line := range header {
		text += line + "\r\n"
	}
	text += fmt.Sprintf("Keep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, text)
	return err == nil
}

// writeUnframed writes an answer that ends with its connection.
func writeUnframed(c net.Conn, a reply, header ...string) {
	text := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n" + strings.Join(header, "\r\n") + "\r\n\r\n"
	for i, piece := range a.pieces {
		if i > 0 {
			time.Sleep(a.pause)
		}
		if _, err := io.WriteString(c, text+piece); err != nil {
			return
		}
		text = ""
	}
}

// startReplicas starts count replicas on free ports and registers them in the store.
func (s *stage) startReplicas(count, slots int, runs *ledger, answer func(p *replica, r *http.Request) reply) ([]*replica, error) {
	var out []*replica
	for i := range count {
		l, err := s.listen(fmt.Sprintf("127.0.78.%d:0", i+1))
		if err != nil {
			return nil, err
		}
		p := &replica{
			id: fmt.Sprintf("i-%08x", 0xa1b20000+i), zone: []string{"zone-a", "zone-b", "zone-c"}[i%3],
			slots: slots, runs: runs, address: l.Addr().String(),
		}
		p.answer = func(r *http.Request) reply { return answer(p, r) }
		go p.serve(l)
		s.store.put("servers/"+p.id, p.entry("ready"))
		out = append(out, p)
	}
	return out, nil
}

// route returns a route of the configuration.
func route(name, prefix, kind string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeoutMS,
		"target-latency-ms": 120, "priority": 2, "service": plainService, "max-attempts": attempts,
		"public": true, "sticky": false, "stream-resume": false,
	}
}

// putConfiguration writes a configuration with the routes and without tenants.
func (s *stage) putConfiguration(version int, routes ...map[string]any) {
	s.putVersion(version, nil, routes...)
}

// putVersion writes a configuration. Without tenants, which is nil, it contains no such field.
func (s *stage) putVersion(version int, tenants []any, routes ...map[string]any) {
	document := map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": plainService, "health-path": "/health", "max-connections": 400, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants != nil {
		document["tenants"] = tenants
	}
	s.store.put("op/config", document)
}
