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
)

// direct sends each request on a connection of its own, in the goroutine of
// the caller. A long stream thus holds no goroutine and few buffers of its
// transport, as those of http.Transport would be, and a request is never sent
// again.
type direct struct {
	dialTimeout time.Duration
}

// RoundTrip implements http.RoundTripper.
func (d *direct) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	dialer := net.Dialer{Timeout: d.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn})
	}
	// A connection that is closed already needs no closing.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := exchange(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	resp.Body = &directBody{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// exchange writes the request and reads the answer's header. An engine may
// answer before it has read the whole request.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	written := req.Write(conn)
	r := bufio.NewReaderSize(conn, streamBuffer)
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, errors.CombineErrors(written, err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// directBody closes the connection with the body.
type directBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer. The rest of the body is not read.
func (b *directBody) Close() error {
	b.stop()
	return b.conn.Close()
}
