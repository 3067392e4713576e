package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/blocks"
)

// monotonicClock is a clock that does not show the time of day, like that of a router.
var monotonicClock = func() peridotusher.Clock {
	start := time.Now()
	return peridotusher.ClockFunc(func() time.Time { return time.Unix(0, int64(time.Since(start))) })
}()

// tcpPair returns the two ends of a TCP connection. The first one is a server's, with the answer
// buffer.
func tcpPair(t *testing.T, m *answerBuffer, done func()) (*clientConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = peer.Close()
		m.stop()
	})
	return newClientConn(c, m, done), peer
}

// TestAbortLargestHolder has one client wait for memory that others occupy, and checks whose
// answer is aborted.
func TestAbortLargestHolder(t *testing.T) {
	type holder struct {
		id     string
		blocks int
		recent int // bytes that it read recently
		slow   time.Duration
	}
	const long = 5 * time.Second
	tests := []struct {
		name    string
		holders []holder
		own     int // blocks of the waiting client
		want    []string
	}{
		{"the largest", []holder{{"a", 20, 0, long}, {"b", 24, 0, long}, {"c", 20, 0, long}}, 0, []string{"b"}},
		{"the largest is read steadily", []holder{{"a", 28, 0, long}, {"b", 36, 28 * blocks.Size / minReadDivisor * 2, long}}, 0, []string{"a"}},
		{"the largest is read too slowly", []holder{{"a", 24, 0, long}, {"b", 40, 4 * blocks.Size, long}}, 0, []string{"b"}},
		{"the largest has just become slow", []holder{{"a", 24, 0, long}, {"b", 40, 0, memoryTimeout / 2}}, 0, []string{"a"}},
		{"the waiting client has used its share", []holder{{"a", 40, 0, long}, {"b", 2, 0, long}}, 22, nil},
		{"memory is free", []holder{{"a", 40, 0, long}, {"b", 4, 0, long}}, 4, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := &abortLog{}
			m := newAnswerBuffer(monotonicClock, 64*blocks.Size, log, nil)
			now := time.Now()
			join := func(h holder) *clientConn {
				end, other := net.Pipe()
				t.Cleanup(func() { _ = other.Close() })
				c := newClientConn(end, m, func() {})
				m.slow[c] = struct{}{}
				c.buffered.id, c.buffered.slowSince = h.id, now.Add(-h.slow)
				for range h.blocks {
					c.buffered.queue.Grow()
				}
				m.used += int64(h.blocks) * blocks.Size
				c.buffered.readRate.add(now, h.recent)
				return c
			}
			for _, h := range tt.holders {
				join(h)
			}
			m.abortLargest(join(holder{"waits", tt.own, 0, long}), now)
			var got []string
			for _, line := range log.all() {
				got = append(got, fmt.Sprint(line["id"]))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("aborted (-want +got):\n%s", diff)
			}
			total := int64(0)
			for c := range m.slow {
				total += c.buffered.queue.Size()
			}
			if total != m.used {
				t.Errorf("%d bytes are counted as used, the clients have %d", m.used, total)
			}
		})
	}
}

// TestAnswerBufferShares has clients buffer as much as they may, one after the other.
func TestAnswerBufferShares(t *testing.T) {
	const bound = 64 // blocks
	tests := []struct {
		clients, own, all int // clients, blocks of the first and the last one together, blocks of all
	}{
		{1, 2 * bound, bound}, // the only client is both the first and the last
		{2, bound, bound},
		{8, bound / 4, bound},
		{16, 8, bound},
		{100, 4, bound}, // minShare, until memory is exhausted
	}
	for _, tt := range tests {
		m := newAnswerBuffer(monotonicClock, bound*blocks.Size, &abortLog{}, nil)
		conns := make([]*clientConn, tt.clients)
		for i := range conns {
			end, other := net.Pipe()
			t.Cleanup(func() { _ = other.Close() })
			conns[i] = newClientConn(end, m, func() {})
			m.slow[conns[i]] = struct{}{}
		}
		for _, c := range conns {
			for m.grow(c) {
			}
		}
		own := conns[0].buffered.queue.Size() + conns[len(conns)-1].buffered.queue.Size()
		if got := []int64{own / blocks.Size, m.used / blocks.Size}; !cmp.Equal(got, []int64{int64(tt.own), int64(tt.all)}) {
			t.Errorf("%d clients: blocks %v, want %d and %d", tt.clients, got, tt.own, tt.all)
		}
	}
}

// TestReadRateWindow guards against an answer that is spared because of what its client read long
// ago.
func TestReadRateWindow(t *testing.T) {
	var p readRate
	now := time.Now()
	p.add(now, 10)
	p.add(now.Add(memoryTimeout*11/10), 5)
	for after, want := range map[time.Duration]int64{memoryTimeout * 12 / 10: 15, memoryTimeout * 22 / 10: 5, memoryTimeout * 40 / 10: 0} {
		q := p
		if got := q.recent(now.Add(after)); got != want {
			t.Errorf("after %v: %d bytes, want %d", after, got, want)
		}
	}
}

// TestCloseWritesBufferedBytes closes a connection while bytes are buffered: the client gets them
// all.
func TestCloseWritesBufferedBytes(t *testing.T) {
	const size = 8 << 20
	var done atomic.Int64
	m := newAnswerBuffer(monotonicClock, smallBound, &abortLog{}, nil)
	c, peer := tcpPair(t, m, func() { done.Add(1) })
	if n, err := c.Write(make([]byte, size)); n != size || err != nil {
		t.Fatalf("wrote %d, %v", n, err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if slow, held := m.stats(); slow != 1 || held == 0 || done.Load() != 0 {
		t.Errorf("%d slow, %d bytes buffered, closed %d times", slow, held, done.Load())
	}
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(100 * time.Millisecond)
		if n, err := io.Copy(io.Discard, peer); n != size || err != nil {
			t.Errorf("%d of %d bytes, %v", n, size, err)
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m.awaitEmpty(ctx) // like a stopping router
	m.stop()
	_ = group.Wait() // its function returns no error
	await(t, "closed once", func() bool { return done.Load() == 1 })
	if slow, held := m.stats(); slow != 0 || held != 0 || len(m.conns) != 0 {
		t.Errorf("%d slow, %d bytes buffered, %d open", slow, held, len(m.conns))
	}
}

// TestBufferedAnswerKeepsWriteDeadline lifts the write deadline after an answer, as net/http
// does: buffered data is still aborted at the deadline of its request.
func TestBufferedAnswerKeepsWriteDeadline(t *testing.T) {
	log := &abortLog{}
	m := newAnswerBuffer(monotonicClock, smallBound, log, nil)
	c, _ := tcpPair(t, m, func() {})
	for _, at := range []time.Time{time.Now().Add(300 * time.Millisecond), {}} {
		if err := c.SetWriteDeadline(at); err != nil {
			t.Fatal(err)
		}
		if at.IsZero() {
			continue
		}
		if _, err := c.Write(make([]byte, 8<<20)); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "an abort", func() bool { return len(log.all()) == 1 })
	if _, held := m.stats(); held != 0 {
		t.Errorf("%d bytes are buffered", held)
	}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("a write after the abort succeeds")
	}
}

// TestWriteToFastClientDoesNotAllocate has a client read at once: writes to it allocate nothing.
func TestWriteToFastClientDoesNotAllocate(t *testing.T) {
	m := newAnswerBuffer(monotonicClock, smallBound, &abortLog{}, nil)
	c, peer := tcpPair(t, m, func() {})
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.Copy(io.Discard, peer)
		return err
	})
	data := make([]byte, 4096)
	allocs := testing.AllocsPerRun(500, func() {
		if _, err := c.Write(data); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Microsecond)
	})
	if slow, _ := m.stats(); slow != 0 || allocs >= 1 {
		t.Errorf("%d slow, %v allocations a write", slow, allocs)
	}
	_ = c.Close() // ends the reader
	_ = group.Wait()
}

// BenchmarkClientWrite compares writes to a client that reads at once with and without an answer
// buffer.
func BenchmarkClientWrite(b *testing.B) {
	for name, m := range map[string]*answerBuffer{"without": nil, "with": newAnswerBuffer(monotonicClock, smallBound, discard{}, nil)} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			peer, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			conn, err := l.Accept()
			if err != nil {
				b.Fatal(err)
			}
			var group errgroup.Group
			group.Go(func() error {
				_, err := io.Copy(io.Discard, peer)
				return err
			})
			c := newClientConn(conn, m, func() {})
			data := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(data); err != nil {
					b.Fatal(err)
				}
			}
			_ = c.Close() // ends the reader
			_ = group.Wait()
			_ = l.Close()
		})
	}
}
