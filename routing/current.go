package routing

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrChangesUnavailable means that the changes since a revision are no longer available.
var ErrChangesUnavailable = errors.New("the changes since this revision are no longer available")

// ErrMalformed means that a configuration cannot be decoded.
var ErrMalformed = errors.New("the configuration is malformed")

// Current holds the current document, which is the one with the highest version that was
// offered. It is safe for concurrent use.
type Current struct {
	mu  sync.Mutex
	doc atomic.Pointer[Document]
}

// NewCurrent returns a Current without a document.
func NewCurrent() *Current { return &Current{} }

// Load returns the current document, or nil if there is none yet.
func (c *Current) Load() *Document { return c.doc.Load() }

// Version returns the version of the current document, or 0 if there is none yet.
func (c *Current) Version() int64 {
	if d := c.doc.Load(); d != nil {
		return d.Version
	}
	return 0
}

// Offer makes the document the current one if its version is higher than the version of the
// current one, and reports whether it did. The store's revision is not compared, since a store
// that was restored from a backup holds an earlier version for a while.
func (c *Current) Offer(d *Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.doc.Load()
	if current != nil && d.Version <= current.Version {
		return false
	}
	c.doc.Store(d)
	return true
}
