package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/store"
)

// documentKey is the store key of the configuration document, below the prefix.
const documentKey = "config/document"

// watchRetry is the delay before a broken watch is opened again.
const watchRetry = 500 * time.Millisecond

// Store is what a router needs of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Swap, error)
	Delete(ctx context.Context, key string, expect store.Revision) (store.Swap, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error)
	Watch(ctx context.Context, prefix string, from store.Revision, fn func(store.Event) error) error
}

// watchDocument keeps the newest configuration in force.
func (h *Host) watchDocument(ctx context.Context) error {
	key := h.Prefix + documentKey
	for {
		from := store.Revision(0)
		entry, err := h.Store.Get(ctx, key)
		if err == nil && entry.Exists() {
			h.adopt(entry.Value(), entry.Revision())
			from = entry.Revision() + 1
		}
		err = h.Store.Watch(ctx, key, from, func(e store.Event) error {
			h.adopt(e.Entry().Value(), e.Entry().Revision())
			return nil
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		h.Log.WithError(err).Debug("configuration watch ended; opening it again")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchRetry):
		}
	}
}

// adopt puts a document in force unless a newer one is or it is not valid.
func (h *Host) adopt(text []byte, revision store.Revision) {
	if old := h.Document(); old != nil && old.Revision() >= uint64(revision) {
		return
	}
	doc, problems := document.Parse(documentKey, text)
	if len(problems) > 0 {
		h.Log.WithFields(logrus.Fields{"revision": revision, "problem": problems[0]}).Error("configuration refused")
		return
	}
	h.current.Store(doc.WithRevision(uint64(revision)))
	h.Log.WithField("revision", revision).Info("configuration in force")
}
