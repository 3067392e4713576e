package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// streamPath begins the paths that are answered with a stream.
	streamPath = "/chat/"
	// streamEvents is the number of events of a stream, eventInterval the time between two of them.
	streamEvents  = 60
	eventInterval = 200 * time.Millisecond
	// callWork is the work of another request. The platform's site sheet states 15 ms with a tail up to 110 ms.
	callWork = 100 * time.Millisecond
)

// replicaServer is a replica in a process of its own. It writes what it runs to standard output.
type replicaServer struct {
	id string
	mu sync.Mutex // of standard output
}

// runReplica serves until the process is killed.
func runReplica(address, id string) int {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s := &replicaServer{id: id}
	for {
		c, err := l.Accept()
		if err != nil {
			return exitFailed
		}
		go s.serve(c)
	}
}

func (s *replicaServer) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve answers the requests on a connection, one at a time.
func (s *replicaServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // everything was written
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer answers a request and reports whether the connection is kept.
func (s *replicaServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	switch {
	case strings.HasPrefix(r.URL.Path, "/-/") || r.URL.Path == "/health":
		return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", s.id))
	case r.Header.Get("X-Expect-Replica") != s.id:
		return write(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id))
	case strings.HasPrefix(r.URL.Path, streamPath):
		s.stream(c, id)
		return false
	}
	s.say("run %s", id)
	time.Sleep(callWork)
	s.say("end %s", id)
	body := "answer " + id + "\n"
	return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: s.%s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body))
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// stream answers with a stream that has no length and ends with its channel.
func (s *replicaServer) stream(c net.Conn, id string) {
	s.say("run %s", id)
	ok := write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id))
	for n := 1; ok && n <= streamEvents; n++ {
		ok = write(c, fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, streamEvents))
		time.Sleep(eventInterval)
	}
	s.say("end %s whole=%v", id, ok)
}
