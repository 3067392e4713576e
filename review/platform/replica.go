package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a replica: it registers in the store, serves one request at a time on a
// channel and drops a request when its channel closes.
type replica struct {
	id, service, zone string
	slots             int
	addr              string
	store             *store
	rec               *recorder
	// serve answers a request; run has recorded its start. It returns false to end the channel.
	serve func(x *arrival) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	seq      int
	born     int64
	stopped  bool
}

// arrival is a request at a replica.
type arrival struct {
	*http.Request
	replica *replica
	id      string
	body    []byte
	conn    net.Conn
	gone    chan struct{} // closed when the router closes the channel
}

func (r *replica) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	r.listener, r.addr = l, l.Addr().String()
	r.conns = map[net.Conn]struct{}{}
	r.born = time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = struct{}{}
			r.mu.Unlock()
			go r.channel(c)
		}
	}()
	r.register("ready")
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.mu.Lock()
			stopped := r.stopped
			r.mu.Unlock()
			if stopped {
				return
			}
			r.register("ready")
		}
	}()
	return nil
}

// register writes the replica's entry.
func (r *replica) register(state string) {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, "cold-remaining-ms": 0, "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	text, _ := json.Marshal(entry)
	r.store.put("servers/"+r.id, text)
}

// leave reports draining and stops the pings.
func (r *replica) leave() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.register("draining")
}

// channel serves the requests of one channel.
func (r *replica) channel(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &arrival{Request: req, replica: r, id: req.Header.Get("X-Attempt-Id"), body: body, conn: c, gone: make(chan struct{})}
		if strings.HasPrefix(req.URL.Path, "/-/") || req.URL.Path == "/health" {
			x.status(http.StatusOK, nil, []byte("{}"))
			continue
		}
		if want := req.Header.Get("X-Expect-Replica"); want != "" && want != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		done := make(chan struct{})
		go func() { // notices the end of the channel while the request runs
			defer close(done)
			if _, err := br.Peek(1); err != nil && !isTimeout(err) {
				close(x.gone)
			}
		}()
		keep := r.serve(x)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the watch
		<-done
		_ = c.SetReadDeadline(time.Time{})
		if !keep {
			return
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// crash ends the replica as a killed process does: nothing is sent any more.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (x *arrival) ran(what string) {
	x.replica.rec.add("replica %s: request %s %s (%s %s)", x.replica.id, x.id, what, x.Method, x.URL.Path)
}

// signature is what a replica signs its answer with.
func (x *arrival) signature() string { return "sig-" + x.replica.id + "-" + x.id }

// head writes the head of an answer of the replica's own.
func (x *arrival) head(status int, more ...string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: %s\r\n%s\r\n",
		status, http.StatusText(status), x.id, x.signature(), strings.Join(append(more, ""), "\r\n"))
}

// status writes a complete answer.
func (x *arrival) status(status int, more []string, body []byte) {
	x.head(status, append(more, "Content-Length: "+strconv.Itoa(len(body)))...)
	_, _ = x.conn.Write(body)
}

// chunk writes one chunk of a chunked answer; an empty one ends it.
func (x *arrival) chunk(text string) {
	fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(text), text)
}

// sleep waits and reports whether the router still has the channel open.
func (x *arrival) sleep(d time.Duration) bool {
	select {
	case <-x.gone:
		return false
	case <-time.After(d):
		return true
	}
}

// stream answers with events numbered from 1, or behind Last-Event-Id, until the last one.
func (x *arrival) stream(events int, pause time.Duration) bool {
	from := 0
	if last := x.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	x.head(http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	for i := from + 1; i <= events; i++ {
		if !x.sleep(pause) {
			x.ran(fmt.Sprintf("dropped after event %d: its channel closed", i-1))
			return false
		}
		x.chunk(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, x.id))
	}
	x.chunk("")
	x.ran("ran to its end")
	return true
}
