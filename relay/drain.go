package relay

import (
	"time"

	"peridotusher.example/peridotusher/blocks"
)

// readRate counts the bytes that a client read recently, in periods of memoryTimeout. The zero
// value is ready to use.
type readRate struct {
	periodStart       time.Time // of the current period
	current, previous int64     // bytes read in the current period and the one before
}

// add counts bytes.
func (p *readRate) add(now time.Time, n int) {
	p.rotate(now)
	p.current += int64(n)
}

// recent returns the bytes read in the last one to two periods.
func (p *readRate) recent(now time.Time) int64 {
	p.rotate(now)
	return p.previous + p.current
}

// rotate starts a new period if the current one is over.
func (p *readRate) rotate(now time.Time) {
	switch age := now.Sub(p.periodStart); {
	case age < memoryTimeout:
		return
	case age < 2*memoryTimeout:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.periodStart, p.current = now, 0
}

// drain writes buffered data to the client until the buffer is empty or the connection fails.
func (m *answerBuffer) drain(c *clientConn) {
	for {
		data, closing := m.nextWrite(c)
		if data != nil {
			n, err := c.Conn.Write(data)
			m.recordWritten(c, n, err)
			continue
		}
		if closing {
			_ = c.closeNow() // nobody waits for the error
		}
		return
	}
}

// nextWrite returns the data to write next. If there is none it ends the draining and reports
// whether to close the connection.
func (m *answerBuffer) nextWrite(c *clientConn) (data []byte, closing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.buffered.err == nil && !c.buffered.queue.Empty() {
		return c.buffered.queue.First(), false
	}
	c.draining.Store(false)
	if !c.buffered.writing {
		delete(m.slow, c)
	}
	if c.buffered.hasDeadline && c.buffered.writeDeadline.IsZero() {
		c.buffered.hasDeadline = false
		_ = c.Conn.SetWriteDeadline(time.Time{}) // fails only if it is closed
	}
	c.notify()
	return nil, c.buffered.closing
}

// recordWritten removes n written bytes from the buffer, or aborts the connection after an error.
func (m *answerBuffer) recordWritten(c *clientConn, n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.buffered.err != nil {
		return // the buffer was already dropped
	}
	if err != nil {
		m.abort(c, "client", err)
		return
	}
	c.buffered.readRate.add(m.clock.Now(), n)
	if c.buffered.queue.Consume(n) {
		m.releaseBlocks(1)
		c.notifyIfFree(m)
	}
}

// notifyIfFree wakes the goroutine that serves the connection if it may buffer more.
func (c *clientConn) notifyIfFree(m *answerBuffer) {
	if c.buffered.waiting && m.canGrow(c) && m.used+blocks.Size <= m.bound {
		c.notify()
	}
}

// deferClose schedules the close of the connection for when all buffered data has been written.
// It returns false if nothing is buffered.
func (m *answerBuffer) deferClose(c *clientConn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !c.draining.Load() || c.buffered.err != nil || m.stopped {
		return false
	}
	c.buffered.closing = true
	if !c.buffered.hasDeadline {
		c.buffered.hasDeadline = true
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closeTimeout)) // fails only if it is closed
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // nothing more is read
	return true
}
