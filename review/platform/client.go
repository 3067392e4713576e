package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// attempt is one consumer attempt and what came of it.
type attempt struct {
	id         string
	method     string
	path       string
	deadlineMs int
	body       string
	header     []string
	key        string // apiKey if empty

	sentAt   time.Time // when the last byte of the request was sent
	endedAt  time.Time
	status   int
	answered string // the body
	sig      string
	whole    bool // whether the answer is complete
	err      error
	resp     *http.Response
}

func newAttempt(method, path string, deadlineMs int) *attempt {
	return &attempt{id: fmt.Sprintf("a%015x", lastAttempt.Add(1)), method: method, path: path, deadlineMs: deadlineMs}
}

// send sends the attempt on a channel of its own and reads the answer.
func (a *attempt) send(rec *recorder, front string) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		rec.add("consumer: request %s (%s %s) finds no channel: %v", a.id, a.method, a.path, err)
		return
	}
	defer c.Close()
	a.sendOn(rec, c, bufio.NewReader(c))
}

// sendOn sends the attempt on an open channel and reads the answer.
func (a *attempt) sendOn(rec *recorder, c net.Conn, br *bufio.Reader) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\n", a.method, a.path, host, a.id, a.deadlineMs, cmp.Or(a.key, apiKey))
	for _, line := range a.header {
		b.WriteString(line + "\r\n")
	}
	if a.body != "" || a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	_ = c.SetDeadline(time.Now().Add(time.Duration(a.deadlineMs) * time.Millisecond))
	rec.add("consumer: request %s (%s %s) sent to %s", a.id, a.method, a.path, c.RemoteAddr())
	_, a.err = io.WriteString(c, b.String())
	a.sentAt = time.Now()
	if a.err == nil {
		a.read(br)
	}
	a.endedAt = time.Now()
	switch {
	case a.status == 0:
		rec.add("consumer: request %s: the channel ends without an answer: %v", a.id, a.err)
	case !a.whole:
		rec.add("consumer: request %s: status %d, the answer ends early after %d bytes: %v", a.id, a.status, len(a.answered), a.err)
	default:
		rec.add("consumer: request %s: status %d, signature %q, body whole (%d bytes)", a.id, a.status, a.sig, len(a.answered))
	}
}

func (a *attempt) read(br *bufio.Reader) {
	resp, err := http.ReadResponse(br, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	a.resp, a.status, a.sig = resp, resp.StatusCode, resp.Header.Get("X-Replica-Signature")
	body, err := io.ReadAll(resp.Body)
	a.answered, a.err, a.whole = string(body), err, err == nil
}

// deadlinePassed reports whether the consumer itself gave up.
func (a *attempt) deadlinePassed() bool {
	var e net.Error
	return errors.As(a.err, &e) && e.Timeout()
}
