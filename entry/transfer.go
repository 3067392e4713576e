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
	// careInterval is the time between two looks at the engines that this
	// router owns.
	careInterval = 500 * time.Millisecond
	// copyWorkers is the number of prefixes that are copied at once.
	copyWorkers = 4
	// copyTimeout bounds the copy of one prefix.
	copyTimeout = 5 * time.Second
)

// caretaker looks after the engines that this router owns: it notices that an
// engine is leaving, and copies its prefixes to the engines that its chats go
// to next.
type caretaker struct {
	host    *Host
	caches  map[peridotusher.EngineID]*cacheView
	copied  map[peridotusher.EngineID]map[peridotusher.ChatKey]int // tokens copied
	limiter *rate.Limiter
	group   *errgroup.Group
}

// careForEngines looks after the owned engines until ctx ends.
func (h *Host) careForEngines(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c := &caretaker{
		host:    h,
		caches:  map[peridotusher.EngineID]*cacheView{},
		copied:  map[peridotusher.EngineID]map[peridotusher.ChatKey]int{},
		limiter: rate.NewLimiter(0, 1),
		group:   group,
	}
	group.Go(func() error { return every(ctx, careInterval, c.round) })
	return group.Wait()
}

func (c *caretaker) round(ctx context.Context) {
	doc := c.host.Document()
	if doc == nil {
		return
	}
	owned := c.host.engines.Select(c.owns)
	c.follow(ctx, owned)
	c.notice(ctx, owned)
	for _, e := range owned {
		if e, ok := c.host.engines.Get(e.ID()); ok && e.State() == peridotusher.EngineLeaving {
			c.copyPrefixes(ctx, doc, e)
		}
	}
}

// owns returns whether this router gives the engine's permits.
func (c *caretaker) owns(e peridotusher.Engine) bool {
	owner, ok := c.host.members.OwnerOf(e.ID(), e.Zone())
	return ok && owner == peridotusher.RouterID(c.host.Name)
}

// notice marks the engines that say they are leaving. Their owner gives no
// more permits for them from then on.
func (c *caretaker) notice(ctx context.Context, owned []peridotusher.Engine) {
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	for _, e := range owned {
		if e.State() == peridotusher.EngineLeaving {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := c.host.models.State(ctx, e.Address())
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

// copyPrefixes copies what is worth it and was not copied yet, at the rate of
// the policy.
func (c *caretaker) copyPrefixes(ctx context.Context, doc *document.Document, from peridotusher.Engine) {
	policy := doc.Policy().Rollout()
	view, ok := c.caches[from.ID()]
	if !ok || policy.Exports() == 0 {
		return
	}
	c.limiter.SetLimit(rate.Limit(policy.Exports()))
	done := c.copied[from.ID()]
	if done == nil {
		done = map[peridotusher.ChatKey]int{}
		c.copied[from.ID()] = done
	}
	ctx, cancel := context.WithTimeout(ctx, careInterval)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(copyWorkers)
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

// copyPrefix copies one prefix. Nothing depends on it: the chat goes to the
// next engine of its ranking either way, and finds the prefix there or not.
func (c *caretaker) copyPrefix(ctx context.Context, doc *document.Document, from peridotusher.Engine, chat peridotusher.CachedChat) {
	organisation, _, _ := strings.Cut(string(chat.Chat), "/")
	to, ok := c.host.ingress.Placer.CopyTarget(doc, from, organisation, chat.Chat)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	blob, err := c.host.models.Export(ctx, from.Address(), chat.Chat)
	if err == nil {
		err = c.host.models.Import(ctx, to.Address(), chat.Chat, blob)
	}
	c.host.metrics.Copy(err == nil)
	if err != nil {
		c.host.Log.WithError(err).WithFields(logrus.Fields{"chat": chat.Chat, "from": from.ID(), "to": to.ID()}).Debug("prefix not copied")
	}
}
