package entry

import (
	"context"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/pause"
)

const (
	// cacheReconnectDelay is the delay before a broken stream of cache events is
	// opened again.
	cacheReconnectDelay = time.Second
	// maxCacheWatchers bounds the engines whose cache events are read concurrently.
	maxCacheWatchers = 64
)

// watchCaches reads the cache events of the engines that this router owns until
// ctx ends.
func (h *Host) watchCaches(ctx context.Context) error {
	watched := map[peridotusher.EngineID]context.CancelFunc{}
	var group errgroup.Group
	group.SetLimit(maxCacheWatchers)
	err := every(ctx, loadInterval, func(ctx context.Context) {
		owned := map[peridotusher.EngineID]bool{}
		for _, e := range h.engines.Select(h.owns) {
			owned[e.ID()] = true
			if watched[e.ID()] != nil {
				continue
			}
			watch, stop := context.WithCancel(ctx)
			if group.TryGo(func() error { return h.watchCache(watch, e) }) {
				watched[e.ID()] = stop
			} else {
				stop()
			}
		}
		for id, stop := range watched {
			if !owned[id] {
				stop()
				delete(watched, id)
			}
		}
	})
	for _, stop := range watched {
		stop()
	}
	// The watchers end with their contexts and report no errors.
	_ = group.Wait()
	return err
}

// watchCache reads one engine's cache events until ctx ends.
func (h *Host) watchCache(ctx context.Context, e peridotusher.Engine) error {
	var after uint64
	for ctx.Err() == nil {
		err := h.engineClient.CacheEvents(ctx, e.Address(), after, func(event engine.CacheEvent) error {
			after = event.Sequence
			h.reportEviction(ctx, e, event)
			return nil
		})
		h.Log.WithError(err).WithField("engine", e.ID()).Debug("cache event stream ended; reconnecting")
		if !pause.For(ctx, cacheReconnectDelay) {
			return nil
		}
	}
	return nil
}

// reportEviction notifies the owner of a chat's home engine that engine e evicted
// the chat's cached prefix, so that the chat no longer waits for e. Cache events
// are late and incomplete, so this is only a hint that saves a wait; missing ones
// need no repair.
func (h *Host) reportEviction(ctx context.Context, e peridotusher.Engine, event engine.CacheEvent) {
	if event.Stored {
		return
	}
	home, ok := h.homeEngine(event.Chat, e)
	if !ok {
		return
	}
	owner, ok := h.members.OwnerOf(home.ID(), home.Zone())
	if !ok {
		return
	}
	if owner == peridotusher.RouterID(h.Name) {
		h.owner.Placements.Forget(event.Chat, e.ID())
		return
	}
	// A lost hint costs the chat at most one wait for the engine.
	_ = h.node.Forgotten(ctx, owner, event.Chat, e.ID())
}

// homeEngine returns the chat's home, the first of its ranking among the engines
// that serve the same model as e.
func (h *Host) homeEngine(chat peridotusher.ChatKey, e peridotusher.Engine) (peridotusher.Engine, bool) {
	doc := h.Document()
	report, reported := e.Report()
	if doc == nil || !reported || len(report.Versions) == 0 {
		return peridotusher.Engine{}, false
	}
	version := report.Versions[0]
	org, _, _ := strings.Cut(string(chat), "/")
	req := peridotusher.Request{Chat: chat, Organisation: org, Model: version.Model}
	if model, ok := doc.Model(version.Model); ok {
		req.Version = h.ingress.Placer.Version(model, chat)
	}
	ranking, err := h.ingress.Placer.Ranking(doc, req)
	if err != nil || len(ranking) == 0 {
		return peridotusher.Engine{}, false
	}
	return ranking[0], true
}
