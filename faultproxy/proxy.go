package faultproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	chunkBytes         = 32 << 10
	queueChunks        = 64
	dialTimeout        = 2 * time.Second
	stallCheckInterval = 5 * time.Millisecond
)

// Proxy forwards connections to a target.
type Proxy struct {
	Listener net.Listener
	Target   string
	Seed     uint64

	fault    atomic.Pointer[Fault]
	bytes    atomic.Int64
	mu       sync.Mutex
	rand     *rand.Rand
	conns    map[*connection]struct{}
	accepted int
}

// connection is one connection through the proxy.
type connection struct {
	client net.Conn
	server net.Conn
	silent [FromTarget + 1]atomic.Bool // by direction
}

// Run forwards connections until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		// An error means that the listener is already closed.
		_ = p.Listener.Close()
		p.ResetConnections()
	})
	defer stop()
	group.Go(func() error {
		for {
			conn, err := p.Listener.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return nil
				}
				return err
			}
			group.Go(func() error {
				p.serve(ctx, conn)
				return nil
			})
		}
	})
	return group.Wait()
}

// Address returns the address that clients dial.
func (p *Proxy) Address() string { return p.Listener.Addr().String() }

// Set replaces the fault.
func (p *Proxy) Set(f Fault) { p.fault.Store(&f) }

// Heal removes every fault. Silenced connections stay silent.
func (p *Proxy) Heal() { p.fault.Store(nil) }

// ResetConnections resets every open connection.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.reset()
	}
}

// SilenceOpen discards all further bytes of the open connections. New connections are
// not affected.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.silent[ToTarget].Store(true)
		l.silent[FromTarget].Store(true)
	}
}

// Bytes returns the number of bytes forwarded in both directions.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// Accepted returns the number of connections forwarded to the target.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (p *Proxy) currentFault() Fault {
	if f := p.fault.Load(); f != nil {
		return *f
	}
	return Fault{}
}

func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	if p.currentFault().Refuse {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.Target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	l := &connection{client: client, server: server}
	p.add(l)
	defer p.remove(l)
	// ResetConnections may have missed it, but then Refuse was set before.
	if ctx.Err() != nil || p.currentFault().Refuse {
		l.reset()
		return
	}
	var group errgroup.Group
	group.Go(func() error { p.copyDirection(ctx, l, server, client, ToTarget); return nil })
	group.Go(func() error { p.copyDirection(ctx, l, client, server, FromTarget); return nil })
	// Both functions return nil.
	_ = group.Wait()
}

// chunk is a piece of data with the time at which it is to be forwarded.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// copyDirection copies one direction: a reader queues chunks, a writer sends each at its
// time.
func (p *Proxy) copyDirection(ctx context.Context, l *connection, dst, src net.Conn, way Direction) {
	queue := make(chan chunk, queueChunks)
	var group errgroup.Group
	group.Go(func() error { p.read(ctx, src, queue); return nil })
	p.write(ctx, l, dst, queue, way)
	// If the writer stopped early, it has closed the connection, which ends the reader.
	for range queue {
		continue
	}
	_ = group.Wait()
}

func (p *Proxy) read(ctx context.Context, src net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{data: buf[:n], sendAt: time.Now().Add(p.delay())}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) write(ctx context.Context, l *connection, dst net.Conn, queue <-chan chunk, way Direction) {
	var passed int64
	for c := range queue {
		if !p.waitUntilDue(ctx, c, way) {
			l.reset()
			return
		}
		f := p.currentFault()
		if f.Silent && f.appliesTo(way) {
			l.silent[way].Store(true)
		}
		if l.silent[way].Load() {
			continue
		}
		data := c.data
		truncated := false
		if f.ResetAfter > 0 && f.appliesTo(way) && passed+int64(len(data)) > f.ResetAfter {
			data = data[:max(f.ResetAfter-passed, 0)]
			truncated = true
		}
		n, err := dst.Write(data)
		passed += int64(n)
		p.bytes.Add(int64(n))
		if err != nil || truncated {
			l.reset()
			return
		}
	}
	closeWrite(dst)
}

// waitUntilDue waits until the chunk's time has come and no stall applies. It returns
// false if ctx ends.
func (p *Proxy) waitUntilDue(ctx context.Context, c chunk, way Direction) bool {
	wait := time.Until(c.sendAt)
	for {
		f := p.currentFault()
		stalled := f.Stall && f.appliesTo(way)
		if wait <= 0 && !stalled {
			return ctx.Err() == nil
		}
		if wait <= 0 {
			wait = stallCheckInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			wait = 0
		}
	}
}

func (p *Proxy) delay() time.Duration {
	f := p.currentFault()
	if f.Jitter <= 0 {
		return f.Delay
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rand == nil {
		p.rand = rand.New(rand.NewPCG(p.Seed, 0))
	}
	return f.Delay + time.Duration(p.rand.Int64N(int64(f.Jitter)))
}

func (p *Proxy) add(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*connection]struct{}{}
	}
	p.conns[l] = struct{}{}
	p.accepted++
}

func (p *Proxy) remove(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, l)
	_ = l.client.Close()
	_ = l.server.Close()
}

func (l *connection) reset() {
	reset(l.client)
	reset(l.server)
}

// reset closes the connection so that the other end receives a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The other direction may still be open. An error means that the connection is closed.
		_ = tcp.CloseWrite()
	}
}
