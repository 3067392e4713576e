package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a replica of a service, a process of its own. What it answers depends on the query of
// the request:
//
//	pieces, gap   number of events or pieces, and the milliseconds between two of them
//	bytes         size of a piece
//	work          milliseconds of work before the answer
//	frame         length, chunks or close: how the end of the answer is found
//	status        status of the answer, 200 if missing
//	kind          stream for events, else a plain body
//
// It writes a line to standard output for each request that it runs, and for the end of the run.
type replica struct {
	id, service string
	slots       int
	out         sync.Mutex

	running sync.WaitGroup
}

// log writes a line to standard output.
func (p *replica) log(format string, args ...any) {
	p.out.Lock()
	defer p.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// runReplica runs a replica until it is killed or its standard input is closed.
func runReplica(id, service, addr string) error {
	p := &replica{id: id, service: service, slots: 64}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { // the platform asks for the planned exit on standard input
		_, _ = io.Copy(io.Discard, os.Stdin)
		_ = l.Close()
		p.running.Wait()
		os.Exit(0)
	}()
	p.log("up %s", id)
	for {
		c, err := l.Accept()
		if err != nil {
			select {}
		}
		go p.serve(c)
	}
}

// serve serves a connection.
func (p *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if keep := p.one(c, r); !keep {
			return
		}
	}
}

// one serves one request and returns whether the connection is kept.
func (p *replica) one(c net.Conn, r *http.Request) (keep bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	attempt := r.Header.Get("X-Attempt-Id")
	head := func(status string, more ...string) string {
		h := "HTTP/1.1 " + status + "\r\n"
		if attempt != "" {
			h += "X-Attempt-Id: " + attempt + "\r\n"
		}
		return h + strings.Join(more, "")
	}
	switch {
	case r.URL.Path == "/health":
		_, err := io.WriteString(c, head("200 OK", "X-Replica-Id: "+p.id+"\r\n", "Content-Length: 0\r\n\r\n"))
		return err == nil
	case strings.HasPrefix(r.URL.Path, "/-/"):
		_, err := io.WriteString(c, head("404 Not Found", "Content-Length: 0\r\n\r\n"))
		return err == nil
	case r.Header.Get("X-Expect-Replica") != "" && r.Header.Get("X-Expect-Replica") != p.id:
		_, err := io.WriteString(c, head("421 Misdirected Request", "X-Replica-Id: "+p.id+"\r\n", "Content-Length: 0\r\n\r\n"))
		return err == nil
	case attempt == "":
		_, err := io.WriteString(c, head("400 Bad Request", "X-Not-Executed: 1\r\n", "Content-Length: 0\r\n\r\n"))
		return err == nil
	}
	q := r.URL.Query()
	p.running.Add(1)
	defer p.running.Done()
	p.log("run %s %s %s %s body %08x", p.id, attempt, r.Method, r.RequestURI, crc32.ChecksumIEEE(body))
	time.Sleep(time.Duration(number(q, "work", 0)) * time.Millisecond)
	from := number(url.Values{"n": r.Header["Last-Event-Id"]}, "n", 0)
	sent, err := p.reply(c, q, head, from)
	if err != nil {
		p.log("cut %s %s %d %v", p.id, attempt, sent, err)
		return false
	}
	p.log("end %s %s %d", p.id, attempt, sent)
	return q.Get("frame") != "close"
}

// number returns a number of a query.
func number(q url.Values, name string, otherwise int) int {
	n, err := strconv.Atoi(q.Get(name))
	if err != nil {
		return otherwise
	}
	return n
}

// piece returns the n-th piece of an answer, counted from 1. The whole answer ends with a last piece
// that says so.
func piece(q url.Values, n int) string {
	pieces, size := number(q, "pieces", 1), number(q, "bytes", 40)
	text := fmt.Sprintf("piece %d of %d ", n, pieces)
	text += strings.Repeat("x", max(size-len(text), 0))
	if q.Get("kind") == "stream" {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
	}
	return text + "\n"
}

// reply writes an answer from the piece after from on and returns how many pieces were written.
func (p *replica) reply(c net.Conn, q url.Values, head func(string, ...string) string, from int) (sent int, err error) {
	pieces := number(q, "pieces", 1)
	kind := "application/octet-stream"
	if q.Get("kind") == "stream" {
		kind = "text/event-stream"
	}
	length := 0
	for n := from + 1; n <= pieces; n++ {
		length += len(piece(q, n))
	}
	frame := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n", length),
		"chunks": "Transfer-Encoding: chunked\r\n",
		"close":  "Connection: close\r\n",
	}[q.Get("frame")]
	signature := "X-Replica-Signature: " + p.id + "." + strconv.Itoa(length) + "\r\n"
	status := "200 OK"
	if q.Get("status") != "" {
		status = q.Get("status") + " Status"
	}
	if _, err := io.WriteString(c, head(status, signature, "Content-Type: "+kind+"\r\n", frame, "\r\n")); err != nil {
		return 0, err
	}
	for n := from + 1; n <= pieces; n++ {
		if n > from+1 {
			time.Sleep(time.Duration(number(q, "gap", 0)) * time.Millisecond)
		}
		data := piece(q, n)
		if q.Get("frame") == "chunks" {
			data = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
		}
		if _, err := io.WriteString(c, data); err != nil {
			return sent, err
		}
		sent++
	}
	if q.Get("frame") == "chunks" {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return sent, err
}
