package relay

import (
	"net"
	"time"

	"peridotusher.example/peridotusher/httpserve"
)

// maxRequestHeadBytes is the largest head of a request until a configuration is known, and under one that does
// not limit it.
const maxRequestHeadBytes = 64 << 10

// clientListener accepts the connections of clients within limits, so that enough memory and file descriptors
// remain.
type clientListener struct {
	net.Listener
	limiter *httpserve.Limiter
	// buffer is passed to new connections; nil disables buffering.
	buffer *answerBuffer
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	c, requests, err := l.limiter.AcceptFrom(l.Listener)
	if err != nil {
		return nil, err
	}
	out := newClientConn(c, l.buffer, requests.Release)
	out.Requests = requests
	requests.Attach(out)
	return out, nil
}

// newLimiter returns the limits of what clients occupy with requests that have not arrived whole.
func (f *Proxy) newLimiter() *httpserve.Limiter {
	return &httpserve.Limiter{
		Clock: f.Clock, MaxConns: f.MaxConnections, HeadMemory: f.HeadMemory, MaxHeadBytes: f.maxHeadBytes,
		IdleReuse: func() time.Duration { return f.keepAliveTimeout() + keepAliveMargin },
		Count:     f.Metrics.countRefusedClient,
		Report: func(reason httpserve.Refusal, number int) {
			f.Log.Event("refused", "reason", string(reason), "clients", number)
		},
	}
}

// maxHeadBytes returns the size in bytes of the largest head of a request.
func (f *Proxy) maxHeadBytes() int {
	if doc := f.Current.Load(); doc != nil && doc.Limits.HeaderBytes > 0 {
		return doc.Limits.HeaderBytes
	}
	return maxRequestHeadBytes
}
