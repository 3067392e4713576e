package entry

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/store"
)

// Store is the part of the platform's key-value service that a router uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Swap, error)
	Delete(ctx context.Context, key string, expect store.Revision) (store.Swap, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error)
	Watch(ctx context.Context, prefix string, from store.Revision, fn func(store.Event) error) error
	RewoundAt() time.Time
}

// buildSource creates the source that follows the configuration in the store.
// The node must exist already.
func (h *Host) buildSource() {
	h.source = &config.Source{
		Self:    h.node.Self,
		Store:   h.Store,
		Prefix:  h.Prefix,
		Peers:   h.node,
		Members: h.members,
		Clock:   h.Clock,
		Log:     h.Log,
	}
	h.source.Register()
	h.node.RevisionSource = h.source
}

// Document returns the current configuration, or nil before the first one has
// been received.
func (h *Host) Document() *document.Document {
	if h.source == nil {
		return nil
	}
	return h.source.Document()
}
