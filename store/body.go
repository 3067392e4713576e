package store

import (
	"io"
	"sync"
)

// onceBody is a request body that can be sent once. It tells whether any of
// it was handed to the connection: a request without its body cannot run.
type onceBody struct {
	mu      sync.Mutex
	rest    []byte
	started bool
	sealed  bool
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, io.ErrClosedPipe
	}
	b.started = true
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return nil
}

// seal forbids further reads and reports whether there was one.
func (b *onceBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return b.started
}
