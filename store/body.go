package store

import (
	"io"
	"sync"
)

// singleUseBody is a request body that can be sent once. It records whether the
// HTTP transport began to read it: a request whose body was not sent cannot run.
type singleUseBody struct {
	mu          sync.Mutex
	remaining   []byte
	readStarted bool
	closed      bool
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.readStarted = true
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// closeAndReportRead makes further reads fail and reports whether there was one
// before.
func (b *singleUseBody) closeAndReportRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return b.readStarted
}
