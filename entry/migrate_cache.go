package entry

import (
	"context"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/pause"
)

const (
	// maxCacheViewChats bounds the chats in the view of one engine.
	maxCacheViewChats = 50_000
	// cacheViewReconnectDelay is the delay before a broken stream of cache events
	// is opened again.
	cacheViewReconnectDelay = 500 * time.Millisecond
)

// cacheView is the content of an engine's cache according to its cache events.
// These are late and incomplete, so the view is only a hint.
type cacheView struct {
	clock  peridotusher.Clock
	cancel context.CancelFunc

	mu       sync.Mutex
	sequence uint64
	byChat   map[peridotusher.ChatKey]peridotusher.CachedChat
}

// updateCacheViews starts reading the cache events of newly owned engines, and
// removes the views of engines that are no longer owned.
func (c *prefixMigrator) updateCacheViews(ctx context.Context, owned []peridotusher.Engine) {
	present := map[peridotusher.EngineID]bool{}
	for _, e := range owned {
		present[e.ID()] = true
		if _, ok := c.caches[e.ID()]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		view := &cacheView{clock: c.host.Clock, cancel: cancel, byChat: map[peridotusher.ChatKey]peridotusher.CachedChat{}}
		c.caches[e.ID()] = view
		c.group.Go(func() error {
			view.followEvents(ctx, c.host.engineClient, e.Address())
			return nil
		})
	}
	for id, view := range c.caches {
		if !present[id] {
			view.cancel()
			delete(c.caches, id)
			delete(c.copied, id)
		}
	}
}

// followEvents applies the engine's cache events until ctx ends.
func (v *cacheView) followEvents(ctx context.Context, models *engine.Client, address string) {
	for ctx.Err() == nil {
		// A broken stream is opened again after the last event applied.
		_ = models.CacheEvents(ctx, address, v.lastSequence(), v.applyEvent)
		if !pause.For(ctx, cacheViewReconnectDelay) {
			return
		}
	}
}

func (v *cacheView) lastSequence() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sequence
}

// applyEvent applies one event.
func (v *cacheView) applyEvent(event engine.CacheEvent) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence = event.Sequence
	if !event.Stored {
		delete(v.byChat, event.Chat)
		return nil
	}
	previous, known := v.byChat[event.Chat]
	if !known && len(v.byChat) >= maxCacheViewChats {
		return nil
	}
	v.byChat[event.Chat] = peridotusher.CachedChat{
		Chat:   event.Chat,
		Tokens: event.Tokens,
		Turns:  previous.Turns + 1,
		Stored: v.clock.Now(),
	}
	return nil
}

// chats returns the chats whose prefixes the engine probably holds.
func (v *cacheView) chats() []peridotusher.CachedChat {
	v.mu.Lock()
	defer v.mu.Unlock()
	chats := make([]peridotusher.CachedChat, 0, len(v.byChat))
	for _, c := range v.byChat {
		chats = append(chats, c)
	}
	return chats
}
