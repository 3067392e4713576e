package faultproxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

const ioTimeout = 10 * time.Second

// startEcho runs a proxy in front of a server that echoes its input.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	target := listen(t)
	group.Go(func() error {
		for {
			conn, err := target.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				_, err := io.Copy(conn, conn)
				conn.Close()
				return err
			})
		}
	})
	p := &Proxy{Listener: listen(t), Target: target.Addr().String(), Seed: 1}
	group.Go(func() error { return p.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		target.Close()
		// The echo server gets an error when the proxy resets its connections.
		_ = group.Wait()
	})
	return p
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends text and returns what is echoed within the limit.
func echo(t *testing.T, conn net.Conn, text string, limit time.Duration) (string, error) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	conn.SetReadDeadline(time.Now().Add(limit))
	buf := make([]byte, len(text))
	n, err := io.ReadFull(conn, buf)
	return string(buf[:n]), err
}

func TestForwardsBytes(t *testing.T) {
	p := startEcho(t)
	p.Set(Fault{Delay: time.Millisecond, Jitter: time.Millisecond})
	got, err := echo(t, dial(t, p), "hello", ioTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("hello", got); diff != "" {
		t.Errorf("echo (-want +got):\n%s", diff)
	}
}

func TestSilenceOpenSparesNewConnections(t *testing.T) {
	p := startEcho(t)
	old := dial(t, p)
	if _, err := echo(t, old, "one", ioTimeout); err != nil {
		t.Fatal(err)
	}
	p.SilenceOpen()
	if got, err := echo(t, old, "two", 50*time.Millisecond); err == nil {
		t.Errorf("silent connection answered %q", got)
	}
	if _, err := echo(t, dial(t, p), "three", ioTimeout); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

func TestConnectionIsResetAfterBytes(t *testing.T) {
	p := startEcho(t)
	p.Set(Fault{ResetAfter: 3, Direction: FromTarget})
	got, err := echo(t, dial(t, p), "hello", ioTimeout)
	if err == nil {
		t.Fatalf("connection was not reset; got %q", got)
	}
}

func TestRefuseAndHeal(t *testing.T) {
	p := startEcho(t)
	p.Set(Fault{Refuse: true})
	// The reset may already arrive during the dial.
	if conn, err := net.Dial("tcp", p.Address()); err == nil {
		defer conn.Close()
		if got, err := echo(t, conn, "hello", ioTimeout); err == nil {
			t.Errorf("refused connection answered %q", got)
		}
	}
	p.Heal()
	if _, err := echo(t, dial(t, p), "hello", ioTimeout); err != nil {
		t.Errorf("healed proxy: %v", err)
	}
}

func TestStallDelaysBytesUntilHeal(t *testing.T) {
	p := startEcho(t)
	conn := dial(t, p)
	p.Set(Fault{Stall: true, Direction: ToTarget})
	if got, err := echo(t, conn, "hello", 50*time.Millisecond); err == nil {
		t.Errorf("stalled connection answered %q", got)
	}
	p.Heal()
	conn.SetReadDeadline(time.Now().Add(ioTimeout))
	buf := make([]byte, 5)
	if _, err := io.ReadFull(conn, buf); err != nil {
		t.Errorf("healed connection: %v", err)
	}
}

// TestCutSparesNoNewConnection guards against a connection that survives a cut, because it was
// accepted before Refuse was set and reached the target after ResetConnections.
func TestCutSparesNoNewConnection(t *testing.T) {
	p := startEcho(t)
	for range 300 {
		p.Heal()
		var conns [8]net.Conn
		for i := range conns {
			conns[i] = dial(t, p)
		}
		p.Set(Fault{Refuse: true})
		p.ResetConnections()
		for _, conn := range conns {
			if got, err := echo(t, conn, "a", time.Second); err == nil {
				t.Fatalf("a connection still echoes %q", got)
			}
			conn.Close()
		}
	}
}
