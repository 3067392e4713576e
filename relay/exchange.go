package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httphead"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// maxInlineBody is the largest body in bytes that is written together with the headers.
	// Larger ones are written while the answer is awaited, since a replica may answer before it
	// has read them.
	maxInlineBody = 8 << 10
	// maxStrayAnswers is the number of answers to other requests that are skipped before the one
	// that belongs to the request.
	maxStrayAnswers = 2
	// maxStrayBytes limits the body of an answer to another request.
	maxStrayBytes = 256 << 10
	// headReadTimeout limits the time from the first byte of a head to its last one.
	headReadTimeout = 2 * time.Second
	// maxDrainBytes and drainTimeout limit the reading of a body that is not forwarded. If it is
	// longer or slower, the connection is closed.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
)

// errNoID means that an answer lacks the request's id.
var errNoID = errors.New("an answer without the request's id")

// outgoing is a request as it is sent to a replica.
type outgoing struct {
	id            string
	method        string
	target        string
	host          string
	header        http.Header
	body          []byte
	hasBody       bool // whether the client sent a body, even an empty one
	notRepeatable bool // whether the request must not be sent twice
	// headTimeout is how long the head of the answer may take before shouldAbandon decides
	// whether the replica is abandoned; 0 sets no limit.
	headTimeout   time.Duration
	shouldAbandon func() bool
	// takeShare takes the share for sending to the replica, if it is cold or limits its request
	// rate; sent is called once the request is written.
	takeShare func() (sent func(), ok bool)
}

// exchange is a request at one replica and its answer.
type exchange struct {
	replica *replicas.Replica
	conn    *conn
	resp    *http.Response
	reply   Reply
	pool    *Pool

	skippedStray bool // whether an answer to another request preceded the answer

	writer         errgroup.Group
	requestWritten atomic.Bool // whether the complete request was written
	// stopWatchingAcks ends the watch of a long body's acknowledgements; nil for other requests.
	stopWatchingAcks func()
	endOnce          sync.Once
	// stopWatching ends the watch for the end of the context. It returns false if the context had
	// ended before.
	stopWatching func() bool
}

// send writes the request to the replica and reads the head of the answer. A failure states
// whether the request may have run.
func send(ctx context.Context, pool *Pool, r *replicas.Replica, out outgoing, d Dialect) (*exchange, *peridotusher.Failure) {
	c, err := pool.get(ctx, r, out.notRepeatable)
	if err != nil {
		return nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseEndpointLost, err)
	}
	if ctx.Err() != nil {
		_ = c.Close() // nothing was sent on it
		return nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseDeadline, context.Cause(ctx))
	}
	recordSent, ok := out.takeShare()
	if !ok {
		_ = c.Close() // nothing was sent on it
		return nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseOverloaded, errShareRefused)
	}
	x := &exchange{replica: r, conn: c, pool: pool}
	x.stopWatching = context.AfterFunc(ctx, c.reset) // a pending read or write ends with an error
	err = x.write(out)
	recordSent()
	if err != nil {
		x.abort()
		return nil, x.classifyError(ctx, err)
	}
	if err := x.readHead(out, d); err != nil {
		x.abort()
		return nil, x.classifyError(ctx, err)
	}
	return x, nil
}

// classifyError returns the failure for an error that occurred after a part of the request may
// have been sent.
func (x *exchange) classifyError(ctx context.Context, err error) *peridotusher.Failure {
	if ctx.Err() != nil {
		return peridotusher.FailWith(peridotusher.MayHaveRun, peridotusher.CauseDeadline, context.Cause(ctx))
	}
	return peridotusher.FailWith(peridotusher.MayHaveRun, peridotusher.CauseEndpointLost, err)
}

// headPool keeps buffers for the heads of requests.
var headPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (x *exchange) write(out outgoing) error {
	buf := headPool.Get().(*bytes.Buffer)
	defer headPool.Put(buf)
	buf.Reset()
	buf.WriteString(out.method)
	buf.WriteByte(' ')
	buf.WriteString(out.target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(out.host)
	buf.WriteString("\r\n")
	if out.hasBody {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(out.body)))
		buf.WriteString("\r\n")
	}
	if err := out.header.Write(buf); err != nil {
		return err
	}
	buf.WriteString("\r\n")
	if len(out.body) <= maxInlineBody {
		buf.Write(out.body)
	}
	if _, err := x.conn.Write(buf.Bytes()); err != nil {
		return err
	}
	if len(out.body) <= maxInlineBody {
		x.requestWritten.Store(true)
		return nil
	}
	x.stopWatchingAcks = x.pool.watchAcks(x.conn)
	x.writer.Go(func() error {
		_, err := x.conn.Write(out.body)
		x.requestWritten.Store(err == nil)
		return err
	})
	return nil
}

// readHead reads the head of the answer that belongs to the request. Answers to other requests
// are skipped.
func (x *exchange) readHead(out outgoing, d Dialect) error {
	req := &http.Request{Method: out.method}
	for range maxStrayAnswers + 1 {
		resp, err := x.readFinalHead(req, out)
		if err != nil {
			return err
		}
		reply := d.ReadReply(resp)
		own, err := x.belongsTo(out, reply)
		if err != nil {
			return err
		}
		if own {
			x.resp, x.reply = resp, reply
			x.conn.unlimitBytes()
			return x.conn.setReadTimeout(0, nil)
		}
		x.skippedStray = true
		x.conn.limitBytes(maxStrayBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.Close {
			return errors.Newf("the connection ended with an answer to request %q", reply.ID)
		}
	}
	return errors.Newf("more than %d answers to other requests", maxStrayAnswers)
}

// belongsTo reports whether an answer belongs to the request. One without an id may be bytes that the
// replica sent after an earlier answer on the connection. The first one on a new connection can only be
// the answer to this request, but is no proper one unless it promises that the request has not run.
func (x *exchange) belongsTo(out outgoing, reply Reply) (bool, error) {
	switch {
	case reply.ID == out.id:
		return true, nil
	case reply.ID != "" || reply.Signed || x.conn.hadAnswer || x.skippedStray:
		return false, nil
	case reply.NotRun || reply.Misdirected:
		return true, nil
	}
	return false, errNoID
}

// readFinalHead reads the head of an answer and skips informational ones.
func (x *exchange) readFinalHead(req *http.Request, out outgoing) (*http.Response, error) {
	x.conn.limitBytes(httphead.MaxBytes)
	for {
		if err := x.awaitHead(out); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.br, req)
		if err != nil {
			return nil, err
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// awaitHead waits for the first byte of a head and limits the time until its last one.
func (x *exchange) awaitHead(out outgoing) error {
	deadline := time.Now().Add(out.headTimeout)
	if err := x.conn.setReadTimeout(out.headTimeout, out.shouldAbandon); err != nil {
		return err
	}
	if _, err := x.conn.br.Peek(1); err != nil {
		return err
	}
	limit := headReadTimeout
	if remaining := time.Until(deadline); remaining > 0 {
		limit = min(limit, remaining)
	}
	return x.limitReadTime(limit)
}

// limitReadTime makes reads fail that are not finished in time d.
func (x *exchange) limitReadTime(d time.Duration) error {
	if err := x.conn.setReadTimeout(0, nil); err != nil {
		return err
	}
	return x.conn.SetReadDeadline(time.Now().Add(d))
}

// drainBody reads the body of an answer that is not forwarded, so that the connection can be
// reused. It stops if the body is too long or slow.
func (x *exchange) drainBody() {
	x.conn.limitBytes(maxDrainBytes)
	if x.limitReadTime(drainTimeout) != nil {
		return
	}
	if _, err := io.Copy(io.Discard, x.resp.Body); err == nil {
		x.finish()
	}
}

// finish ends the exchange after its answer was read completely. The connection is kept for reuse
// if nothing unusual happened on it. An answer without the request's id, sent once more, could not
// be told from that to a later request.
func (x *exchange) finish() {
	x.endOnce.Do(func() {
		// The answer may have arrived before the request body was written. Then the
		// connection is not reused, so that nothing has to wait for the rest.
		healthy := x.stopWatching() && x.requestWritten.Load()
		keepAlive := time.Duration(0)
		if healthy && isDelimited(x.resp) && x.reply.ID != "" && !x.skippedStray && x.isRequestAcked() {
			keepAlive = replicaKeepAlive(x.resp)
		}
		x.awaitWriter()
		x.conn.hadAnswer = true
		x.pool.put(x.replica, x.conn, keepAlive)
	})
}

// isRequestAcked reports whether the replica's host has received the complete request. Until then a
// replica that reads the rest of a long body later would delay the next request.
func (x *exchange) isRequestAcked() bool {
	if x.stopWatchingAcks == nil {
		return true
	}
	acked, err := x.conn.acks.Update()
	return acked && err == nil
}

// abort ends the exchange immediately by resetting the connection.
func (x *exchange) abort() {
	x.endOnce.Do(func() {
		x.stopWatching()
		x.conn.reset() // the state of the connection is unknown
		x.awaitWriter()
	})
}

// awaitWriter waits for the writer of the body, which ends when the connection is closed.
func (x *exchange) awaitWriter() {
	if x.stopWatchingAcks != nil {
		x.stopWatchingAcks()
	}
	if !x.requestWritten.Load() {
		_ = x.conn.Close() // ends the writer
	}
	_ = x.writer.Wait() // its error is that of the connection
}
