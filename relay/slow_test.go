package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/routing"
)

// TestLateReader has a client begin to read after 3 s. Without the answer buffer the replica
// would abort the answer, and without updateAckTimeouts the kernel would close the connection.
func TestLateReader(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, framing string
		route         routing.Route
		size          int
	}{
		{"stream", "chunked", longStream, longAnswer},
		{"chunks", "chunked", longAnswerRoute, longAnswer},
		{"length", "length", longAnswerRoute, longAnswer},
		{"in the socket buffers", "length", longAnswerRoute, 500_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, log := newSlowFixture(t, tt.route, smallBound, 0, sizedAnswer)
			c := b.slowClient(slowRequest{id: "1", size: tt.size, framing: tt.framing})
			time.Sleep(3 * time.Second)
			if got, complete := readAll(c, 0); got != tt.size || !complete {
				t.Errorf("%d of %d bytes, complete %v; %v", got, tt.size, complete, log.all())
			}
			b.awaitBufferEmpty()
		})
	}
}

// TestManySlowReaders has 500 clients read slowly. They get complete answers, and the heap stays
// below half of the memory of the smallest router. Clients that are refused, because a busy machine
// delays a connection to the replica, send their requests again.
func TestManySlowReaders(t *testing.T) {
	const clients, size, maxRounds = 500, 300_006, 5 // the size ends with an event
	for name, route := range map[string]routing.Route{"streams": longStream, "no streams": longAnswerRoute} {
		t.Run(name, func(t *testing.T) {
			b, log := newSlowFixture(t, route, smallBound, socketBufferSize, sizedAnswer)
			var complete, refused atomic.Int64
			read := func(c net.Conn) error {
				switch status, got, ok := readAnswer(c, 4096); {
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
				case ok && got == size:
					complete.Add(1)
				}
				return nil
			}
			heap, held := b.measurePeak(func() {
				pending := int64(clients)
				for range maxRounds {
					var group errgroup.Group
					for i := range pending {
						c := b.slowClient(slowRequest{id: fmt.Sprint(i), size: size, framing: []string{"chunked", "length"}[i%2]})
						group.Go(func() error { return read(c) })
					}
					_ = group.Wait() // its functions return no error
					pending = refused.Swap(0)
				}
			})
			t.Logf("heap %d MB, buffered %d KB", heap>>20, held>>10)
			if heap > maxHeap || held > smallBound || held < smallBound/2 {
				t.Errorf("heap of %d bytes, of which %d buffered", heap, held)
			}
			if complete.Load() != clients || log.refusedOther("no_replica") > 0 {
				t.Errorf("%d of %d answers are complete, %d aborted, refused %v", complete.Load(), clients, len(log.all()), log.refusals)
			}
			b.awaitBufferEmpty()
		})
	}
}

// readTimedEvents reads a stream of events that contain the time at which they were sent, and
// returns their number and the longest delay.
func readTimedEvents(t *testing.T, c net.Conn) (seen int, late time.Duration) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	for scan := bufio.NewScanner(resp.Body); scan.Scan(); {
		var at int64
		if _, err := fmt.Sscanf(scan.Text(), "data: %d", &at); err == nil {
			seen++
			late = max(late, time.Since(time.Unix(0, at)))
		}
	}
	return seen, late
}

// TestClientsThatNeverRead has 60 clients that never read, and one that reads events at once. The
// events arrive in time, the memory is bounded, and nothing remains once the clients have
// disconnected. A router without slow clients shows how much the machine itself delays events.
func TestClientsThatNeverRead(t *testing.T) {
	const clients, events = 60, 100
	timed := func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("Framing") != "events" {
			return sizedAnswer(c, r, body)
		}
		_, err := io.WriteString(c, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Id")))
		for range events {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, chunk(fmt.Sprintf("data: %d\n\n", time.Now().UnixNano())))
		}
		_, _ = io.WriteString(c, chunk("")) // an error would show at the client
		return err == nil
	}
	calm, _ := newSlowFixture(t, longStream, smallBound, 0, timed)
	b, log := newSlowFixture(t, longStream, smallBound, 0, timed)
	first := b.slowClient(slowRequest{id: "first", size: len(filler), framing: "length"})
	if status, _, complete := readAnswer(first, 0); status != http.StatusOK || !complete {
		t.Fatalf("answer %d, complete %v", status, complete)
	}
	_ = first.Close() // the answer was read completely
	b.proxy.Pool.Close()
	await(t, "the first client disconnected", func() bool { return b.clientConns() == 0 })
	before := runtime.NumGoroutine()
	var conns []net.Conn
	var seen int
	var late, usual time.Duration
	heap, maxBuffered := b.measurePeak(func() {
		for i := range clients {
			conns = append(conns, b.slowClient(slowRequest{id: fmt.Sprint(i), size: longAnswer, framing: "chunked"}))
		}
		await(t, "memory in use", func() bool { _, held := b.bufferStats(); return held > smallBound/2 })
		fast := b.slowClient(slowRequest{id: "fast", size: 0, framing: "events"})
		conns = append(conns, fast)
		other := calm.slowClient(slowRequest{id: "calm", size: 0, framing: "events"})
		conns = append(conns, other)
		var group errgroup.Group
		group.Go(func() error {
			_, usual = readTimedEvents(t, other)
			return nil
		})
		seen, late = readTimedEvents(t, fast)
		_ = group.Wait() // its function returns no error
	})
	t.Logf("heap %d MB, buffered %d KB, latest event %v, without slow clients %v, aborted %d", heap>>20, maxBuffered>>10, late, usual, len(log.all()))
	if heap > maxHeap || maxBuffered > smallBound || maxBuffered < smallBound/2 {
		t.Errorf("heap of %d bytes, of which %d buffered", heap, maxBuffered)
	}
	if seen != events || late > usual+50*time.Millisecond {
		t.Errorf("%d events, the latest after %v", seen, late)
	}
	for _, c := range conns {
		_ = c.Close() // resets the connection, since bytes are unread
	}
	b.awaitBufferEmpty()
	// A request that ends later would leave its connection to the replica open.
	await(t, "requests ended", func() bool { return b.proxy.Active() == 0 && calm.proxy.Active() == 0 })
	b.proxy.Pool.Close()
	calm.proxy.Pool.Close()
	await(t, "goroutines ended", func() bool { return runtime.NumGoroutine() <= before })
}

// TestOnlyLargestHolderIsAborted has a client that does not read occupy the most memory while
// others need some: only its answer is aborted. A client that reads slowly but steadily gets its
// complete answer.
func TestOnlyLargestHolderIsAborted(t *testing.T) {
	t.Parallel()
	const bound = 2 << 20
	b, log := newSlowFixture(t, longAnswerRoute, bound, socketBufferSize, sizedAnswer)
	b.slowClient(slowRequest{id: "most", size: 2 * bound, framing: "length"})
	await(t, "all memory in use", func() bool { _, held := b.bufferStats(); return held == bound })
	b.slowClient(slowRequest{id: "little", size: 400_000, framing: "length"})
	steady := b.slowClient(slowRequest{id: "steady", size: 2 * bound, framing: "chunked"})
	if got, complete := readAll(steady, 32<<10); got != 2*bound || !complete {
		t.Errorf("the steady client got %d bytes, complete %v", got, complete)
	}
	var at []string
	for _, line := range log.all() {
		at = append(at, fmt.Sprint(line["id"], " ", line["at"], " ", line["held"].(int64) > bound/2, " ", line["slow"].(time.Duration) > 0))
	}
	if len(at) != 1 || at[0] != "most memory true true" {
		t.Errorf("aborted: %q", at)
	}
}

// TestAbortedAnswerLooksIncomplete has answers aborted for lack of memory in each framing: what
// the client gets must not look complete.
func TestAbortedAnswerLooksIncomplete(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, framing string
		route         routing.Route
		http10        bool
	}{
		{"stream", "chunked", longStream, false},
		{"chunked", "chunked", longAnswerRoute, false},
		{"length", "length", longAnswerRoute, false},
		{"until the close", "chunked", longAnswerRoute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const bound = 1 << 20
			b, log := newSlowFixture(t, tt.route, bound, socketBufferSize, sizedAnswer)
			c := b.slowClient(slowRequest{id: "1", http10: tt.http10, size: 2 * bound, framing: tt.framing})
			await(t, "all memory in use", func() bool { _, held := b.bufferStats(); return held == bound })
			b.slowClient(slowRequest{id: "2", size: 2 * bound, framing: "length"})
			await(t, "an abort", func() bool { return len(log.all()) > 0 })
			if got, complete := readAll(c, 0); complete || got >= 2*bound {
				t.Errorf("%d bytes look complete", got)
			}
		})
	}
}

// TestUnreadAnswerEndsAtDeadline has a client that does not read until its deadline: the answer
// is visibly aborted then, though the replica sent it completely long before.
func TestUnreadAnswerEndsAtDeadline(t *testing.T) {
	t.Parallel()
	b, log := newSlowFixture(t, longAnswerRoute, smallBound, socketBufferSize, sizedAnswer)
	c := b.slowClient(slowRequest{id: "1", size: 1 << 20, framing: "length", timeout: 500 * time.Millisecond})
	began := time.Now()
	await(t, "an abort", func() bool { return len(log.all()) == 1 })
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("aborted after %v", took)
	}
	if got, complete := readAll(c, 0); complete {
		t.Errorf("%d bytes look complete", got)
	}
	await(t, "the request ended", func() bool { return b.proxy.Active() == 0 })
	var counters strings.Builder
	b.counters.WritePrometheus(&counters)
	for _, name := range []string{`peridotusher_cut_total{route="r"} 1`, "peridotusher_slow_clients 0", "peridotusher_held_answer_bytes 0", "peridotusher_cut_for_memory_total 0"} {
		if !strings.Contains(counters.String(), name+"\n") {
			t.Errorf("no %s in:\n%s", name, counters.String())
		}
	}
}

// TestStopWithSlowReaders has a router stop while it buffers answers: a client that reads within
// the grace period gets its complete answer, the answer of one that does not is aborted.
func TestStopWithSlowReaders(t *testing.T) {
	t.Parallel()
	b, log := newSlowFixture(t, longAnswerRoute, smallBound, socketBufferSize, sizedAnswer)
	reads := b.slowClient(slowRequest{id: "reads", size: 1 << 20, framing: "chunked"})
	sleeps := b.slowClient(slowRequest{id: "sleeps", size: 1 << 20, framing: "length"})
	await(t, "both slow", func() bool { slow, held := b.bufferStats(); return slow == 2 && held > 1<<20 })
	if n := b.proxy.Active(); n != 2 {
		t.Errorf("%d requests are in flight", n)
	}
	b.proxy.Stop(StopPolicy{AcceptAllUntil: time.Now()})
	b.stop()
	time.Sleep(200 * time.Millisecond)
	if got, complete := readAll(reads, 0); got != 1<<20 || !complete {
		t.Errorf("%d bytes, complete %v", got, complete)
	}
	await(t, "an abort", func() bool { return b.proxy.Active() == 0 && len(log.all()) > 0 })
	if got, complete := readAll(sleeps, 0); complete {
		t.Errorf("%d bytes look complete", got)
	}
}

// TestClosedConnectionIsReadLate guards against answers that the kernel drops because their client
// does not read for a while, after the router has closed the connection behind them.
func TestClosedConnectionIsReadLate(t *testing.T) {
	t.Parallel()
	const size = 500_000 // fits into the socket buffers
	b, log := newSlowFixture(t, longAnswerRoute, smallBound, 0, sizedAnswer)
	c := b.slowClient(slowRequest{id: "1", size: size, framing: "length"})
	await(t, "the answer in the socket buffers", func() bool { return len(b.requests()) == 1 && b.proxy.Active() == 0 })
	b.proxy.Stop(StopPolicy{AcceptAllUntil: time.Now()})
	b.stop()
	time.Sleep(4 * time.Second)
	if got, complete := readAll(c, 0); got != size || !complete {
		t.Errorf("%d of %d bytes, complete %v; %v", got, size, complete, log.all())
	}
}

// TestFastReaderNeedsNoBuffer has a client read long answers at once: nothing is buffered for it.
func TestFastReaderNeedsNoBuffer(t *testing.T) {
	b, _ := newSlowFixture(t, longAnswerRoute, smallBound, 0, sizedAnswer)
	c := b.dial()
	_, held := b.measurePeak(func() {
		for range 20 {
			raw := strings.Replace(post("Size: 1000000\r\nFraming: length\r\nContent-Length: 0\r\n", ""), "Patience: 2s", "Patience: 9s", 1)
			if _, err := io.WriteString(c, raw); err != nil {
				t.Fatal(err)
			}
			if got, complete := readAll(c, 0); got != 1_000_000 || !complete {
				t.Fatalf("%d bytes, complete %v", got, complete)
			}
		}
	})
	if held > 0 {
		t.Errorf("%d bytes were buffered for a client that reads at once", held)
	}
}

// TestSlowReplica has a replica read a request slowly: other requests to it are answered
// meanwhile.
func TestSlowReplica(t *testing.T) {
	t.Parallel()
	const size = 8 << 20 // more than fits into the socket buffers
	b, _ := newSlowFixture(t, longAnswerRoute, smallBound, 0, sizedAnswer)
	b.proxy.Current.Load().Limits.BodyBytes = size
	b.proxy.BodyMemory = 2 * size
	body := strings.Repeat("b", size)
	var slow errgroup.Group
	slow.Go(func() error {
		raw := post(fmt.Sprintf("Pause: 800ms\r\nSize: 5\r\nFraming: length\r\nContent-Length: %d\r\n", size), body)
		if resp, _, complete := b.send(raw); resp == nil || !complete || resp.StatusCode != http.StatusOK {
			t.Errorf("the slow answer is %v", resp)
		}
		return nil
	})
	await(t, "the request in flight", func() bool { return b.proxy.Active() == 1 })
	for range 20 {
		began := time.Now()
		if _, answer, complete := b.send(post("Size: 5\r\nFraming: length\r\nContent-Length: 0\r\n", "")); answer != "data:" || !complete {
			t.Fatalf("answer %q, complete %v", answer, complete)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("an answer took %v", took)
		}
	}
	if b.proxy.Active() == 0 {
		t.Error("the slow request was not slow")
	}
	await(t, "the slow request answered", func() bool { return b.proxy.Active() == 0 })
	_ = slow.Wait() // its function returns no error
}
