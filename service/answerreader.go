package service

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// blockSize is the size in bytes of the blocks in which answers are read.
const blockSize = 16 << 10

// blockPool keeps blocks, so that answers that are given up leave no garbage.
var blockPool = sync.Pool{New: func() any { return new([blockSize]byte) }}

// errAnswerTooLong ends the reading of an answer that exceeds its limit.
var errAnswerTooLong = errors.New("answer is too long")

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
