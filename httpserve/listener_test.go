package httpserve

import (
	"io"
	"net"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/tcp"
)

// newTestLimiter returns limits that no client of the tests meets.
func newTestLimiter() *Limiter {
	return &Limiter{Clock: peridotusher.ClockFunc(time.Now), MaxConns: 100, MaxHeadBytes: func() int { return 1 << 20 }}
}

// TestClosedConnIsNotRead guards against requests that are read from a connection which lingers for its client, since its server removes read deadlines.
func TestClosedConnIsNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closer := tcp.NewCloser()
	defer closer.Stop()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := (&Listener{Listener: l, Closer: closer, Limiter: newTestLimiter()}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write(make([]byte, 64<<20)) // more than the client receives without reading
	if err := c.Close(); err != nil || closer.Count() != 1 {
		t.Fatalf("%d connections linger, %v", closer.Count(), err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, "GET") // the read shows an error
	time.Sleep(10 * time.Millisecond)    // so that it arrives
	if n, err := c.Read(make([]byte, 3)); n != 0 || err != net.ErrClosed {
		t.Errorf("%d bytes were read, %v", n, err)
	}
}
