package relay

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/blocks"
	"peridotusher.example/peridotusher/tcp"
)

const (
	// minShare is the number of bytes that each slow client may occupy however many there are, as
	// long as memory is free.
	minShare = 64 << 10
	// memoryTimeout is how long an answer waits for memory before the answer that occupies the
	// most is aborted. It is below the 2 s after which replicas abort an answer that nobody
	// reads.
	memoryTimeout = time.Second
	// minReadDivisor protects clients that read steadily: an answer is not aborted for others if
	// its client reads at least 1/minReadDivisor of the buffered bytes within memoryTimeout.
	minReadDivisor = 8
	// emptyCheckInterval is the interval of checks whether the buffer is empty while the router
	// stops.
	emptyCheckInterval = 10 * time.Millisecond
)

var (
	// errAlreadyLogged marks errors for which a "cut" line has already been logged.
	errAlreadyLogged  = errors.New("logged")
	errNoAnswerMemory = errors.Mark(errors.New("no free memory to buffer the answer"), errAlreadyLogged)
	errStopped        = errors.Mark(errors.New("the router stopped before the client had read the answer"), errAlreadyLogged)
)

// answerBuffer buffers what clients do not read at once. All slow clients share the memory limit.
type answerBuffer struct {
	clock    peridotusher.Clock
	bound    int64
	log      Log
	metrics  *Metrics
	drainers errgroup.Group
	closer   *tcp.Closer

	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	slow    map[*clientConn]struct{}
	used    int64 // memory of the blocks of all clients, in bytes
	stopped bool
}

// bufferState is the state of one connection in the answer buffer.
type bufferState struct {
	id            string // of the latest request
	queue         blocks.Queue
	slowSince     time.Time // when the client became slow
	writeDeadline time.Time // as set last by the server
	hasDeadline   bool      // whether a write deadline is set on the connection
	err           error     // fails all further writes
	writing       bool      // whether the serving goroutine is in answerBuffer.write
	waiting       bool      // whether it waits there for memory
	closing       bool      // whether to close the connection once everything is written
	wake          chan struct{}
	readRate      readRate
}

func newAnswerBuffer(clock peridotusher.Clock, bound int64, log Log, metrics *Metrics) *answerBuffer {
	m := &answerBuffer{
		clock: clock, bound: bound, log: log, metrics: metrics, closer: tcp.NewCloser(),
		conns: make(map[*clientConn]struct{}), slow: make(map[*clientConn]struct{}),
	}
	metrics.registerSlowClients(m)
	return m
}

func (m *answerBuffer) addConn(c *clientConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = struct{}{}
}

func (m *answerBuffer) removeConn(c *clientConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// stats returns the number of slow clients and the memory used for them in bytes.
func (m *answerBuffer) stats() (slow int, used int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.slow), m.used
}

// setRequestID sets the id of the request whose answer is written next on the connection.
func (m *answerBuffer) setRequestID(c *clientConn, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.buffered.id = id
}

// write buffers b[n:]. It blocks while the client uses its share or no memory is free, and
// returns how much of b has been written or buffered.
func (m *answerBuffer) write(c *clientConn, b []byte, n int) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beginWrite(c)
	defer m.endWrite(c)
	lastProgress := m.clock.Now()
	for n < len(b) {
		if c.buffered.err != nil {
			return n, c.buffered.err
		}
		more := m.put(c, b[n:])
		if more == 0 {
			var err error
			if more, err = m.awaitMemory(c, b[n:], lastProgress); err != nil {
				return n + more, err
			}
		}
		n += more
		switch now := m.clock.Now(); {
		case more > 0:
			lastProgress = now
		case now.Sub(lastProgress) >= memoryTimeout:
			m.abortLargest(c, now)
			lastProgress = now
		}
	}
	return n, nil
}

func (m *answerBuffer) beginWrite(c *clientConn) {
	if _, ok := m.slow[c]; !ok {
		m.slow[c] = struct{}{}
		c.buffered.slowSince = m.clock.Now()
		c.buffered.readRate = readRate{}
	}
	c.buffered.writing = true
	if m.stopped && c.buffered.err == nil {
		c.buffered.err = errStopped
	}
}

func (m *answerBuffer) endWrite(c *clientConn) {
	c.buffered.writing = false
	if !c.draining.Load() {
		delete(m.slow, c)
	}
}

// put buffers as much of b as there is memory for, starts the draining goroutine if needed, and
// returns the number of buffered bytes. m.mu must be locked.
func (m *answerBuffer) put(c *clientConn, b []byte) int {
	n := 0
	for {
		n += c.buffered.queue.Fill(b[n:])
		if n == len(b) || !m.grow(c) {
			break
		}
	}
	if n > 0 && !c.draining.Load() {
		c.draining.Store(true)
		m.drainers.Go(func() error {
			m.drain(c)
			return nil
		})
	}
	return n
}

// share returns how many bytes each slow client may occupy.
func (m *answerBuffer) share() int64 {
	return max(m.bound/int64(max(len(m.slow), 1)), minShare)
}

// canGrow reports whether one more block fits into the client's share.
func (m *answerBuffer) canGrow(c *clientConn) bool {
	return c.buffered.queue.Size()+blocks.Size <= m.share()
}

func (m *answerBuffer) grow(c *clientConn) bool {
	if !m.canGrow(c) || m.used+blocks.Size > m.bound {
		return false
	}
	c.buffered.queue.Grow()
	m.used += blocks.Size
	return true
}

// awaitMemory waits until memory may be free. If nothing is buffered for the client, it writes to
// the client meanwhile and returns how many bytes were written.
func (m *answerBuffer) awaitMemory(c *clientConn, b []byte, lastProgress time.Time) (int, error) {
	draining := c.draining.Load()
	deadline := c.buffered.writeDeadline
	c.buffered.waiting = draining
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		c.buffered.waiting = false
	}()
	if !draining {
		return c.writeWithin(maxDirectWriteFull, b)
	}
	remaining, atDeadline := memoryTimeout-m.clock.Now().Sub(lastProgress), false
	if !deadline.IsZero() && time.Until(deadline) < remaining {
		remaining, atDeadline = time.Until(deadline), true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-c.buffered.wake:
	case <-timer.C:
		if atDeadline {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return 0, nil
}

// releaseBlocks releases the memory of count blocks and wakes connections that may use it, those with
// the least buffered first. m.mu must be locked.
func (m *answerBuffer) releaseBlocks(count int64) {
	m.used -= count * blocks.Size
	for free := (m.bound - m.used) / blocks.Size; free > 0; free-- {
		var next *clientConn
		for c := range m.slow {
			if c.buffered.waiting && m.canGrow(c) && (next == nil || c.buffered.queue.Size() < next.buffered.queue.Size()) {
				next = c
			}
		}
		if next == nil {
			return
		}
		next.notify()
	}
}

// notify wakes the goroutine that serves the connection.
func (c *clientConn) notify() {
	c.buffered.waiting = false
	select {
	case c.buffered.wake <- struct{}{}:
	default:
	}
}

// abortLargest aborts the answer that occupies the most memory if memory is exhausted while
// client c is below its share.
func (m *answerBuffer) abortLargest(c *clientConn, now time.Time) {
	if !m.canGrow(c) || m.used+blocks.Size <= m.bound {
		return
	}
	var largest *clientConn
	for other := range m.slow {
		if m.mayAbort(other, now) && (largest == nil || other.buffered.queue.Size() > largest.buffered.queue.Size()) {
			largest = other
		}
	}
	if largest == nil {
		return // all are within their shares, or are read fast enough
	}
	m.metrics.countMemoryAbort()
	m.abort(largest, "memory", errNoAnswerMemory)
}

// mayAbort reports whether a client exceeds its share, has been slow for memoryTimeout and reads
// too slowly.
func (m *answerBuffer) mayAbort(c *clientConn, now time.Time) bool {
	size := c.buffered.queue.Size()
	return size > m.share() && now.Sub(c.buffered.slowSince) >= memoryTimeout && c.buffered.readRate.recent(now) < size/minReadDivisor
}

// abort resets a client's connection and frees its buffer. m.mu must be locked.
func (m *answerBuffer) abort(c *clientConn, at string, err error) {
	if c.buffered.err != nil {
		return
	}
	c.buffered.err = errors.Mark(err, errAlreadyLogged)
	size := c.buffered.queue.Size()
	slow := time.Duration(0)
	if _, ok := m.slow[c]; ok {
		slow = m.clock.Now().Sub(c.buffered.slowSince)
	}
	m.log.Event("cut", "id", c.buffered.id, "at", at, "held", size, "slow", slow, "error", err)
	c.reset()
	c.buffered.queue.Drop()
	m.releaseBlocks(size / blocks.Size)
	c.notify()
}

// awaitWritten waits until everything buffered for the client has been written.
func (m *answerBuffer) awaitWritten(c *clientConn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c.draining.Load() && c.buffered.err == nil {
		m.mu.Unlock()
		<-c.buffered.wake
		m.mu.Lock()
	}
	return c.buffered.err
}

// abortError returns the error with which the connection was aborted, if it was.
func (m *answerBuffer) abortError(c *clientConn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.buffered.err
}

// awaitEmpty waits until the buffer is empty and clients have received everything, or ctx ends.
func (m *answerBuffer) awaitEmpty(ctx context.Context) {
	tick := time.NewTicker(emptyCheckInterval)
	defer tick.Stop()
	for slow, _ := m.stats(); slow > 0; slow, _ = m.stats() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	if ctx.Err() != nil {
		return // requests may be in flight still
	}
	_ = m.drainers.Wait() // they have written everything and close connections that may linger
	m.closer.Await(ctx)
}

// stop aborts the answers that are still buffered and closes the connections that linger.
func (m *answerBuffer) stop() {
	m.mu.Lock()
	m.stopped = true
	for c := range m.slow {
		m.abort(c, "stop", errStopped)
	}
	m.mu.Unlock()
	if unread := m.closer.Stop(); unread > 0 {
		m.log.Event("unread", "connections", unread)
	}
	_ = m.drainers.Wait() // its functions return no error
}
