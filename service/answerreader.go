package service

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/blocks"
)

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
	var q blocks.Queue
	defer q.Drop()
	for {
		_, err := q.ReadOnce(a)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return contents(&q), nil
		case errors.Is(err, errOutOfMemory), errors.Is(err, errAnswerTooLong):
			return nil, err
		default:
			return contents(&q), err
		}
	}
}

// contents removes and returns all bytes of a queue.
func contents(q *blocks.Queue) []byte {
	out := bytes.NewBuffer(make([]byte, 0, q.Length()))
	_ = q.WriteAll(out) // a bytes.Buffer returns no error
	return out.Bytes()
}

// Read implements io.Reader within the limits.
func (a *answerReader) Read(b []byte) (int, error) {
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
