package relay

import (
	"io"
	"sync"
)

// blockSize is the size in bytes of the blocks in which answers are read and buffered.
const blockSize = 16 << 10

// block is a piece of an answer, of which data[from:to] remains to be written.
type block struct {
	data     [blockSize]byte
	from, to int
}

var blockPool = sync.Pool{New: func() any { return new(block) }}

// blockQueue is a queue of bytes in blocks. The zero value is empty. Its size is that of all its
// blocks, however full they are.
type blockQueue struct{ blocks []*block }

// size returns the occupied memory in bytes.
func (h *blockQueue) size() int64 { return int64(len(h.blocks)) * blockSize }

func (h *blockQueue) empty() bool { return len(h.blocks) == 0 }

// grow appends an empty block.
func (h *blockQueue) grow() {
	b := blockPool.Get().(*block)
	b.from, b.to = 0, 0
	h.blocks = append(h.blocks, b)
}

// fill copies as much as fits into the last block and returns the number of bytes.
func (h *blockQueue) fill(data []byte) int {
	if len(h.blocks) == 0 {
		return 0
	}
	last := h.blocks[len(h.blocks)-1]
	n := copy(last.data[last.to:], data)
	last.to += n
	return n
}

// readFrom appends the result of a single Read and returns the number of bytes.
func (h *blockQueue) readFrom(r io.Reader) (int, error) {
	if h.empty() || h.blocks[len(h.blocks)-1].to == blockSize {
		h.grow()
	}
	last := h.blocks[len(h.blocks)-1]
	n, err := r.Read(last.data[last.to:])
	last.to += n
	return n, err
}

// writeTo writes everything and releases each block once it is written.
func (h *blockQueue) writeTo(w io.Writer) error {
	for !h.empty() {
		n, err := w.Write(h.first())
		if err != nil {
			return err
		}
		h.consume(n)
	}
	return nil
}

// length returns the number of queued bytes.
func (h *blockQueue) length() int {
	n := 0
	for _, b := range h.blocks {
		n += b.to - b.from
	}
	return n
}

// first returns the remaining bytes of the first block. They stay valid while fill and grow are
// called.
func (h *blockQueue) first() []byte {
	b := h.blocks[0]
	return b.data[b.from:b.to]
}

// consume removes n bytes of the first block and reports whether the block was released.
func (h *blockQueue) consume(n int) bool {
	b := h.blocks[0]
	b.from += n
	if b.from < b.to {
		return false
	}
	h.blocks[0] = nil
	h.blocks = h.blocks[1:]
	if len(h.blocks) == 0 {
		h.blocks = nil
	}
	blockPool.Put(b)
	return true
}

// drop removes everything. The first block may still be in use by a write, so it is left to the
// garbage collector.
func (h *blockQueue) drop() {
	for i, b := range h.blocks {
		if i > 0 {
			blockPool.Put(b)
		}
	}
	h.blocks = nil
}
