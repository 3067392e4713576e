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
	// cacheViewLimit is the number of chats remembered of one engine.
	cacheViewLimit = 50_000
	// eventRetry is the delay before broken cache events are asked for again.
	eventRetry = 500 * time.Millisecond
)

// cacheView is what an engine's cache events say that it holds. Events come
// late and with gaps, so the view is a hint.
type cacheView struct {
	clock  peridotusher.Clock
	cancel context.CancelFunc

	mu       sync.Mutex
	sequence uint64
	byChat   map[peridotusher.ChatKey]peridotusher.CachedChat
}

// follow reads the cache events of the owned engines and forgets the others.
func (c *caretaker) follow(ctx context.Context, owned []peridotusher.Engine) {
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
			view.read(ctx, c.host.models, e.Address())
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

// read follows the events until ctx ends.
func (v *cacheView) read(ctx context.Context, models *engine.Client, address string) {
	for ctx.Err() == nil {
		// A broken connection is opened again after the last event seen.
		_ = models.CacheEvents(ctx, address, v.last(), v.take)
		if !pause.For(ctx, eventRetry) {
			return
		}
	}
}

func (v *cacheView) last() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sequence
}

// take applies one event.
func (v *cacheView) take(event engine.CacheEvent) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence = event.Sequence
	if !event.Stored {
		delete(v.byChat, event.Chat)
		return nil
	}
	old, known := v.byChat[event.Chat]
	if !known && len(v.byChat) >= cacheViewLimit {
		return nil
	}
	v.byChat[event.Chat] = peridotusher.CachedChat{
		Chat:   event.Chat,
		Tokens: event.Tokens,
		Turns:  old.Turns + 1,
		Stored: v.clock.Now(),
	}
	return nil
}

// chats returns what the engine is thought to hold.
func (v *cacheView) chats() []peridotusher.CachedChat {
	v.mu.Lock()
	defer v.mu.Unlock()
	chats := make([]peridotusher.CachedChat, 0, len(v.byChat))
	for _, c := range v.byChat {
		chats = append(chats, c)
	}
	return chats
}
