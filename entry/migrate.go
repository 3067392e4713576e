package entry

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

const (
	// migrateInterval is the time between two checks of the engines that this
	// router owns.
	migrateInterval = 500 * time.Millisecond
	// maxPrefixCopies bounds the prefixes that are copied concurrently.
	maxPrefixCopies = 4
	// copyTimeout bounds the copy of one prefix.
	copyTimeout = 5 * time.Second
)

// prefixMigrator detects that an engine owned by this router is leaving, and copies
// its cached prefixes to the engines that will serve its chats next.
type prefixMigrator struct {
	host    *Host
	caches  map[peridotusher.EngineID]*cacheView
	copied  map[peridotusher.EngineID]map[peridotusher.ChatKey]int // number of tokens copied
	limiter *rate.Limiter
	group   *errgroup.Group
}

// migratePrefixes runs a prefixMigrator until ctx ends.
func (h *Host) migratePrefixes(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c := &prefixMigrator{
		host:    h,
		caches:  map[peridotusher.EngineID]*cacheView{},
		copied:  map[peridotusher.EngineID]map[peridotusher.ChatKey]int{},
		limiter: rate.NewLimiter(0, 1),
		group:   group,
	}
	group.Go(func() error { return every(ctx, migrateInterval, c.round) })
	return group.Wait()
}

func (c *prefixMigrator) round(ctx context.Context) {
	doc := c.host.Document()
	if doc == nil {
		return
	}
	owned := c.host.engines.Select(c.owns)
	c.updateCacheViews(ctx, owned)
	c.markLeaving(ctx, owned)
	for _, e := range owned {
		if e, ok := c.host.engines.Get(e.ID()); ok && e.State() == peridotusher.EngineLeaving {
			c.copyPrefixes(ctx, doc, e)
		}
	}
}

// owns returns whether this router is the engine's owner, which grants its permits.
func (c *prefixMigrator) owns(e peridotusher.Engine) bool {
	owner, ok := c.host.members.OwnerOf(e.ID(), e.Zone())
	return ok && owner == peridotusher.RouterID(c.host.Name)
}

// markLeaving marks the engines whose state says that they are leaving. From then
// on, this router grants no more permits for them.
func (c *prefixMigrator) markLeaving(ctx context.Context, owned []peridotusher.Engine) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngineCalls)
	for _, e := range owned {
		if e.State() == peridotusher.EngineLeaving {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := c.host.engineClient.State(ctx, e.Address())
			if err == nil && state.Leaving() {
				c.host.engines.SetState(e.ID(), peridotusher.EngineLeaving)
				c.host.Log.WithField("engine", e.ID()).Info("engine is leaving")
			}
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
}

// copyPrefixes copies the prefixes that are worth copying and have not been copied
// yet, at the rate that the policy allows.
func (c *prefixMigrator) copyPrefixes(ctx context.Context, doc *document.Document, from peridotusher.Engine) {
	policy := doc.Policy().Rollout()
	view, ok := c.caches[from.ID()]
	if !ok || policy.ExportsPerSecond() == 0 {
		return
	}
	c.limiter.SetLimit(rate.Limit(policy.ExportsPerSecond()))
	done := c.copied[from.ID()]
	if done == nil {
		done = map[peridotusher.ChatKey]int{}
		c.copied[from.ID()] = done
	}
	ctx, cancel := context.WithTimeout(ctx, migrateInterval)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxPrefixCopies)
	for _, chat := range peridotusher.CopyOrder(c.host.Clock.Now(), policy, view.chats()) {
		if done[chat.Chat] >= chat.Tokens {
			continue
		}
		if c.limiter.Wait(ctx) != nil {
			break
		}
		done[chat.Chat] = chat.Tokens
		group.Go(func() error {
			c.copyPrefix(context.WithoutCancel(ctx), doc, from, chat)
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
}

// copyPrefix copies one prefix. A failure only costs time: the chat goes to the
// next engine of its ranking in any case, which then has to compute the prefix.
func (c *prefixMigrator) copyPrefix(ctx context.Context, doc *document.Document, from peridotusher.Engine, chat peridotusher.CachedChat) {
	organisation, _, _ := strings.Cut(string(chat.Chat), "/")
	to, ok := c.host.ingress.Placer.CopyTarget(doc, from, organisation, chat.Chat)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	blob, err := c.host.engineClient.Export(ctx, from.Address(), chat.Chat)
	if err == nil {
		err = c.host.engineClient.Import(ctx, to.Address(), chat.Chat, blob)
	}
	c.host.metrics.RecordPrefixCopy(err == nil)
	if err != nil {
		c.host.Log.WithError(err).WithFields(logrus.Fields{"chat": chat.Chat, "from": from.ID(), "to": to.ID()}).Debug("prefix not copied")
	}
}
