package service

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errAnswerTooLong ends the reading of an answer that exceeds its limit.
var errAnswerTooLong = errors.New("answer is too long")

// errOutOfMemory ends the reading of an answer of the endpoint whose answers use most of the memory.
var errOutOfMemory = errors.New("the endpoint's answers take most of the memory for answers")

// answerMemory limits the memory of the answers that are being read by all calls together. If they
// exceed it, the largest answer of the endpoint that uses most is given up, so that an endpoint that
// sends without end leaves room for the answers of others.
type answerMemory struct {
	limit int64 // in bytes

	mu        sync.Mutex
	used      int64
	givenUp   int64 // part of used that answers which were given up have yet to return
	endpoints map[string]*endpointAnswers
}

// endpointAnswers are the answers of one endpoint that are being read.
type endpointAnswers struct {
	used    int64 // in bytes, without answers that were given up
	answers map[*answerReader]bool
}

func newAnswerMemory(limit int64) *answerMemory {
	return &answerMemory{limit: limit, endpoints: make(map[string]*endpointAnswers)}
}

// answerReader reads the body of one answer. It fails if the body is longer than limit, or if the
// answer is given up.
type answerReader struct {
	body    io.Reader
	address string // of the endpoint
	limit   int64  // in bytes
	memory  *answerMemory
	cancel  context.CancelCauseFunc // interrupts a pending read

	// Guarded by memory.mu.
	size    int64
	givenUp bool
}

// add registers an answer, and returns a function that returns its memory.
func (m *answerMemory) add(a *answerReader) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.endpoints[a.address]
	if e == nil {
		e = &endpointAnswers{answers: make(map[*answerReader]bool)}
		m.endpoints[a.address] = e
	}
	e.answers[a] = true
	return func() { m.release(a) }
}

// grow adds n bytes to an answer. It returns the answer's size and whether the answer is given up.
func (m *answerMemory) grow(a *answerReader, n int64) (size int64, givenUp bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.size += n
	m.used += n
	if a.givenUp {
		m.givenUp += n
	} else {
		m.endpoints[a.address].used += n
	}
	for m.used-m.givenUp > m.limit {
		m.giveUpLargest()
	}
	return a.size, a.givenUp
}

// giveUpLargest gives up the largest answer of the endpoint that uses most memory.
func (m *answerMemory) giveUpLargest() {
	var most *endpointAnswers
	for _, e := range m.endpoints {
		if most == nil || e.used > most.used {
			most = e
		}
	}
	var largest *answerReader
	for a := range most.answers {
		if !a.givenUp && (largest == nil || a.size > largest.size) {
			largest = a
		}
	}
	most.used -= largest.size
	m.givenUp += largest.size
	largest.givenUp = true
	largest.cancel(errOutOfMemory)
}

func (m *answerMemory) release(a *answerReader) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= a.size
	e := m.endpoints[a.address]
	if a.givenUp {
		m.givenUp -= a.size
	} else {
		e.used -= a.size
	}
	delete(e.answers, a)
	if len(e.answers) == 0 {
		delete(m.endpoints, a.address)
	}
}

// blockSize is the size in bytes of the blocks in which answers are read.
const blockSize = 16 << 10

// blockPool keeps blocks, so that answers that are given up leave no garbage.
var blockPool = sync.Pool{New: func() any { return new([blockSize]byte) }}

// readAll reads the whole body. If it breaks off, readAll returns the part that arrived.
func (a *answerReader) readAll() ([]byte, error) {
	var blocks []*[blockSize]byte
	defer func() {
		for _, b := range blocks {
			blockPool.Put(b)
		}
	}()
	for size := 0; ; {
		if size == len(blocks)*blockSize {
			blocks = append(blocks, blockPool.Get().(*[blockSize]byte))
		}
		n, err := a.read(blocks[len(blocks)-1][size%blockSize:])
		size += n
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return join(blocks, size), nil
		case errors.Is(err, errOutOfMemory), errors.Is(err, errAnswerTooLong):
			return nil, err
		default:
			return join(blocks, size), err
		}
	}
}

// join returns the first size bytes of blocks.
func join(blocks []*[blockSize]byte, size int) []byte {
	out := make([]byte, 0, size)
	for _, b := range blocks {
		out = append(out, b[:min(blockSize, size-len(out))]...)
	}
	return out
}

// read reads into b within the limits.
func (a *answerReader) read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	size, givenUp := a.memory.grow(a, int64(n))
	switch {
	case givenUp:
		return n, errOutOfMemory
	case size > a.limit:
		return n, errors.Wrapf(errAnswerTooLong, "more than %d bytes", a.limit)
	}
	return n, err
}
