// Package blocks buffers answers in blocks of one size that are used again, so that buffers that grow
// leave no garbage.
//
// # Usage
//
//	var q blocks.Queue
//	n, err := q.ReadOnce(conn)
//	err = q.WriteAll(w)
package blocks

import (
	"io"
	"sync"
)

// Size is the size in bytes of a block.
const Size = 16 << 10

// block is a piece of an answer, of which data[from:to] remains to be written.
type block struct {
	data     [Size]byte
	from, to int
}

var pool = sync.Pool{New: func() any { return new(block) }}

// Buffer returns a buffer of the size of a block, and a function that releases it.
func Buffer() (buf []byte, release func()) {
	b := pool.Get().(*block)
	return b.data[:], func() { pool.Put(b) }
}

// Queue is a queue of bytes in blocks. The zero value is empty. Its size is that of all its blocks,
// however full they are.
type Queue struct{ blocks []*block }

// Size returns the occupied memory in bytes.
func (q *Queue) Size() int64 { return int64(len(q.blocks)) * Size }

// Empty reports whether the queue has no blocks.
func (q *Queue) Empty() bool { return len(q.blocks) == 0 }

// Grow appends an empty block.
func (q *Queue) Grow() {
	b := pool.Get().(*block)
	b.from, b.to = 0, 0
	q.blocks = append(q.blocks, b)
}

// Fill copies as much as fits into the last block and returns the number of bytes.
func (q *Queue) Fill(data []byte) int {
	if len(q.blocks) == 0 {
		return 0
	}
	last := q.blocks[len(q.blocks)-1]
	n := copy(last.data[last.to:], data)
	last.to += n
	return n
}

// ReadOnce appends the result of a single Read and returns the number of bytes.
func (q *Queue) ReadOnce(r io.Reader) (int, error) {
	if q.Empty() || q.blocks[len(q.blocks)-1].to == Size {
		q.Grow()
	}
	last := q.blocks[len(q.blocks)-1]
	n, err := r.Read(last.data[last.to:])
	last.to += n
	return n, err
}

// WriteAll writes everything and releases each block once it is written.
func (q *Queue) WriteAll(w io.Writer) error {
	for !q.Empty() {
		n, err := w.Write(q.First())
		if err != nil {
			return err
		}
		q.Consume(n)
	}
	return nil
}

// Length returns the number of queued bytes.
func (q *Queue) Length() int {
	n := 0
	for _, b := range q.blocks {
		n += b.to - b.from
	}
	return n
}

// First returns the remaining bytes of the first block. They stay valid while Fill and Grow are
// called.
func (q *Queue) First() []byte {
	b := q.blocks[0]
	return b.data[b.from:b.to]
}

// Consume removes n bytes of the first block and reports whether the block was released.
func (q *Queue) Consume(n int) bool {
	b := q.blocks[0]
	b.from += n
	if b.from < b.to {
		return false
	}
	q.blocks[0] = nil
	q.blocks = q.blocks[1:]
	if len(q.blocks) == 0 {
		q.blocks = nil
	}
	pool.Put(b)
	return true
}

// Drop removes everything. The first block may still be in use by a write, so it is left to the
// garbage collector.
func (q *Queue) Drop() {
	for i, b := range q.blocks {
		if i > 0 {
			pool.Put(b)
		}
	}
	q.blocks = nil
}
