package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/httphead"
)

// unpooledTransport sends each request on a new connection, in the calling
// goroutine. Unlike with http.Transport, a long stream needs no goroutines of the
// transport and fewer buffers, and a request is never retried.
type unpooledTransport struct {
	dialTimeout time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *unpooledTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	dialer := net.Dialer{Timeout: t.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn})
	}
	// Close fails only if the connection is closed already.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := exchange(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	resp.Body = &unpooledBody{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// exchange writes the request and reads the answer's header. It reads the answer
// even if writing fails, because an engine may answer before it has read the
// complete request.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	written := req.Write(conn)
	limited := &headReader{Reader: conn, remaining: httphead.MaxBytes}
	r := bufio.NewReaderSize(limited, streamBufferBytes)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, errors.CombineErrors(written, err)
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			limited.inBody = true
			limited.writeErr = written
			return resp, nil
		}
	}
}

// errHeadTooLong is the error of an answer whose head exceeds httphead.MaxBytes.
var errHeadTooLong = errors.Newf("head is longer than %d bytes", httphead.MaxBytes)

// headReader limits the bytes that are read before the body of an answer.
type headReader struct {
	io.Reader
	remaining int
	inBody    bool
	// writeErr is the error of the write of the request. A reset that it reports is read as an end of file,
	// which is no end of an answer then.
	writeErr error
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.inBody {
		n, err := h.Reader.Read(b)
		if errors.Is(err, io.EOF) && h.writeErr != nil {
			err = errors.CombineErrors(io.ErrUnexpectedEOF, h.writeErr)
		}
		return n, err
	}
	if h.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.Reader.Read(b)
	h.remaining -= n
	return n, err
}

// unpooledBody is an answer's body whose Close closes the connection.
type unpooledBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer. It does not read the rest of the body.
func (b *unpooledBody) Close() error {
	b.stop()
	return b.conn.Close()
}
