package httpserve

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// refusalTimeout limits the write of a refusal, and the reading of what the client still sends.
	refusalTimeout = 100 * time.Millisecond
	// refusalDrainBytes limits what is read behind a refusal, so that the client receives it rather than a reset.
	refusalDrainBytes = 256 << 10
	// refusalRetryAfter is when a client may return for whose head no memory was left.
	refusalRetryAfter = 300 * time.Millisecond
)

// phase is the part of a request that is read next.
type phase int

const (
	phaseHead   phase = iota
	phaseFramed       // the head was read, and how its body ends is not known yet
	phaseBody         // a body with a length
	phaseChunks       // a body in chunks
)

// RequestReader reads the requests of one connection. No Read returns bytes of more than one head or body, so that
// the server buffers none that are not accounted for. One goroutine reads at a time.
type RequestReader struct {
	limiter *Limiter
	conn    net.Conn
	client  net.Conn // to which refusals are written, and which is closed if the connection is evicted
	held    []byte   // bytes that were read and belong to a later part

	// What follows is guarded by limiter.mu.
	phase       phase
	head        headScanner
	chunks      chunkScanner
	left        int64 // of a body with a length
	answering   bool  // whether a request is being answered, or its body read
	headCost    int64 // of the head that is being received
	requestCost int64 // of the request that is being answered
	in          *list.List
	place       *list.Element // in that list, if it is in one
	idleSince   time.Time
	ended       bool // whether it was evicted, refused or closed
	released    bool
}

// Attach sets the connection as the server knows it, which may be closed in favour of others from now on.
func (r *RequestReader) Attach(client net.Conn) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.client = client
	r.enter(&r.limiter.waiting)
}

// Read implements io.Reader.
func (r *RequestReader) Read(b []byte) (int, error) {
	b = r.clip(b)
	n, err := 0, error(nil)
	wasHeld := len(r.held) > 0
	if wasHeld {
		n = copy(b, r.held)
	} else {
		n, err = r.conn.Read(b)
	}
	if n == 0 {
		return 0, err
	}
	part, evicted, refusal := r.account(b[:n])
	closeEvicted(evicted)
	if refusal != "" {
		r.reject(refusal)
		return 0, io.EOF
	}
	switch {
	case wasHeld:
		r.held = r.held[part:]
	case part < n:
		r.held = bytes.Clone(b[part:n])
		err = nil // it comes behind these bytes
	}
	return part, err
}

// clip shortens a buffer to the rest of a body with a length. A read before the framing is known, as the server
// does for the end of the connection behind a request without a body, begins the next head.
func (r *RequestReader) clip(b []byte) []byte {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.phase == phaseFramed {
		r.setFraming(0)
	}
	if r.phase == phaseBody {
		return b[:min(int64(len(b)), r.left)]
	}
	return b
}

// account accounts for bytes that were read, and returns how many of them belong to the current part. It returns
// the connections that were evicted for them, and the reason if the client is refused.
func (r *RequestReader) account(b []byte) (part int, evicted []*RequestReader, refusal Refusal) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.ended {
		return 0, nil, Evicted
	}
	switch r.phase {
	case phaseBody:
		part = len(b)
		if r.left -= int64(part); r.left == 0 {
			r.endBody()
		}
		return part, nil, ""
	case phaseChunks:
		part, whole := r.chunks.feed(b)
		if whole {
			r.endBody()
		}
		return part, nil, ""
	}
	part, whole := r.head.feed(b)
	if whole {
		r.phase = phaseFramed
	}
	evicted, refusal = r.chargeHead()
	if refusal != "" {
		r.ended = true // the server frees what it has parsed once it closes the connection
		r.leave()
	}
	return part, evicted, refusal
}

// chargeHead charges the head for what was read of it; limiter.mu must be held. While a request is being answered
// nothing is charged or refused, which would end that request: the server reads a byte of the next one meanwhile.
func (r *RequestReader) chargeHead() (evicted []*RequestReader, refusal Refusal) {
	if !r.head.started || r.answering {
		return nil, ""
	}
	if r.in != &r.limiter.waiting {
		r.enter(&r.limiter.waiting)
	}
	if r.head.bytes > r.limiter.MaxHeadBytes() {
		return nil, RefusedSize
	}
	evicted, ok := r.limiter.acquire(r, int64(r.head.bytes)*byteCost+int64(r.head.lines)*lineCost)
	if !ok {
		return evicted, RefusedMemory
	}
	return evicted, ""
}

// BeginRequest records that the head of a request was parsed, and the length of its body, -1 if it is in chunks. It
// returns false if the connection was evicted meanwhile, so that the request must not be served.
func (r *RequestReader) BeginRequest(length int64) bool {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.ended {
		return false
	}
	if r.phase == phaseFramed {
		r.setFraming(length)
	}
	return true
}

// setFraming begins the body of a request; limiter.mu must be held. The connection may be evicted until the
// request has arrived whole.
func (r *RequestReader) setFraming(length int64) {
	r.requestCost += r.headCost
	r.headCost, r.head, r.answering = 0, headScanner{}, true
	switch {
	case length == 0:
		r.endBody()
	case length > 0:
		r.phase, r.left = phaseBody, length
	default:
		r.phase, r.chunks = phaseChunks, chunkScanner{}
	}
}

// endBody records that the request has arrived whole; limiter.mu must be held.
func (r *RequestReader) endBody() {
	r.phase = phaseHead
	r.leave()
}

// MarkIdle records that the request that was read last has been answered.
func (r *RequestReader) MarkIdle() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.ended {
		return
	}
	r.limiter.used -= r.requestCost
	r.requestCost, r.answering = 0, false
	if r.head.started {
		r.enter(&r.limiter.waiting)
		return
	}
	r.idleSince = r.limiter.Clock.Now()
	r.enter(&r.limiter.idle)
}

// End records that no more requests are read. It may be called more than once.
func (r *RequestReader) End() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.end()
}

// Release records that the descriptor of the connection is closed. It may be called more than once.
func (r *RequestReader) Release() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.limiter.open--
	r.end()
}

// end frees what the connection occupies but its descriptor; limiter.mu must be held.
func (r *RequestReader) end() {
	r.ended = true
	r.limiter.used -= r.headCost + r.requestCost
	r.headCost, r.requestCost = 0, 0
	r.leave()
}

// enter moves the connection to the end of a list; limiter.mu must be held.
func (r *RequestReader) enter(l *list.List) {
	r.leave()
	r.in, r.place = l, l.PushBack(r)
}

// leave removes the connection from the list that it is in; limiter.mu must be held.
func (r *RequestReader) leave() {
	if r.in != nil {
		r.in.Remove(r.place)
		r.in, r.place = nil, nil
	}
}

// closeEvicted closes connections that were evicted. Their requests have not run.
func closeEvicted(evicted []*RequestReader) {
	for _, r := range evicted {
		r.limiter.refuse(Evicted)
		_ = r.client.Close() // the server notices
	}
}

// reject answers a request whose head is refused, before it was parsed, and reads what the client still sends.
func (r *RequestReader) reject(reason Refusal) {
	if reason == Evicted {
		return // it is closed already
	}
	r.limiter.refuse(reason)
	until := time.Now().Add(refusalTimeout)
	if r.client.SetWriteDeadline(until) != nil || r.conn.SetReadDeadline(until) != nil {
		return // it is closed
	}
	if _, err := io.WriteString(r.client, refusalText(reason)); err == nil {
		_, _ = io.CopyN(io.Discard, r.conn, refusalDrainBytes) // ends with the client, the limit or the time
	}
}

// refusalText returns the answer to a request whose head is refused.
func refusalText(reason Refusal) string {
	status, more := http.StatusRequestHeaderFieldsTooLarge, ""
	if reason == RefusedMemory {
		status = http.StatusServiceUnavailable
		more = "Retry-After: " + strconv.FormatFloat(refusalRetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	body := "head_" + string(reason) + "\n"
	return strings.Join([]string{
		"HTTP/1.1 ", strconv.Itoa(status), " ", http.StatusText(status), "\r\nConnection: close\r\n", more,
		"Content-Type: text/plain; charset=utf-8\r\nContent-Length: ", strconv.Itoa(len(body)), "\r\n\r\n", body,
	}, "")
}
