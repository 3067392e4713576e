package config

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/store"
)

// The waits of a watcher after the store failed.
const (
	storeRetryBase = 200 * time.Millisecond
	storeRetryMax  = 3 * time.Second
	// bootAudit bounds the wait of a router without a document that is no watcher.
	bootAudit = 3 * time.Second
)

// errBehind ends a watch that did not deliver what the store holds.
var errBehind = errors.New("the watch is behind the store")

// originStore names the store as the origin of a state.
const originStore = "store"

// followStore watches the store while this router is one of its zone's
// watchers, and else reads the head now and then.
func (s *Source) followStore(ctx context.Context) error {
	backoff := pause.Backoff{Base: storeRetryBase, Max: storeRetryMax, Rand: s.Rand}
	failures := 0
	// The peers get a moment to offer their state before the store is read.
	pause.For(ctx, s.Interval/2+time.Duration(s.Rand()*float64(s.Interval)))
	audit := s.Clock.Now().Add(s.auditDelay())
	for ctx.Err() == nil {
		watching := s.isWatcher()
		s.setWatching(watching)
		var err error
		switch {
		case watching:
			err = s.watch(ctx)
		case !s.Clock.Now().Before(audit):
			err = s.auditHead(ctx)
			audit = s.Clock.Now().Add(s.auditDelay())
		}
		if err == nil || errors.Is(err, store.ErrWatchEnded) || errors.Is(err, errBehind) {
			failures = 0
			pause.For(ctx, s.Interval)
			continue
		}
		s.Log.WithError(err).Debug("configuration not read from the store")
		// The wait ends early when ctx does, as the loop.
		_ = backoff.Wait(ctx, failures)
		failures++
	}
	return nil
}

// auditDelay returns a random time, so that routers do not read together. It
// is short as long as there is no document.
func (s *Source) auditDelay() time.Duration {
	if s.Revision() == 0 {
		return time.Duration(s.Rand() * float64(bootAudit))
	}
	return s.Audit/2 + time.Duration(s.Rand()*float64(s.Audit))
}

// auditHead reads the state if the store's is newer.
func (s *Source) auditHead(ctx context.Context) error {
	behind, err := s.checkHead(ctx)
	if err != nil || !behind {
		return err
	}
	_, err = s.readAll(ctx)
	return err
}

// isWatcher reports whether this router is one of the first in its zone's
// ranking. A router that is leaving is not live and needs no watch.
func (s *Source) isWatcher() bool {
	var live []string
	for _, m := range s.Members.Live(s.Self.Zone()) {
		live = append(live, string(m.ID()))
	}
	return slices.Contains(firstRanked(headKey, live), string(s.Self.ID()))
}

// watch reads the state and follows its changes until the watch ends, it is
// behind, or another router is to watch.
func (s *Source) watch(ctx context.Context) error {
	content, err := s.readAll(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.Store.Watch(ctx, s.Prefix+stateKeys, content.revision+1, func(e store.Event) error {
			return s.handleEvent(content.raw, e)
		})
	})
	group.Go(func() error { return s.superviseWatch(ctx) })
	return group.Wait()
}

// superviseWatch reads the head regularly. It returns an error, which ends the
// watch, when the watch missed a change or this router is no longer a watcher.
func (s *Source) superviseWatch(ctx context.Context) error {
	for pause.For(ctx, s.Poll) {
		if !s.isWatcher() {
			return store.ErrWatchEnded
		}
		behind, err := s.checkHead(ctx)
		if err != nil || behind {
			return errors.CombineErrors(err, errBehind)
		}
	}
	return nil
}

// checkHead compares the store's head with the state in force and reports
// whether the store's is newer.
func (s *Source) checkHead(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	entry, err := s.Store.Get(ctx, s.Prefix+headKey)
	if err != nil {
		return false, err
	}
	head := &Head{}
	if err := proto.Unmarshal(entry.Value(), head); err != nil {
		return false, err
	}
	s.observe(head)
	return head.GetRevision() > s.Revision() && !s.refused(head.GetRevision()), nil
}

// content is what was read of the store with its revision.
type content struct {
	*raw
	revision store.Revision
}

// readAll reads the state, puts it in force if it is newer, and returns it.
func (s *Source) readAll(ctx context.Context) (content, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	r, revision, err := readRaw(ctx, s.Store, s.Prefix)
	if err != nil {
		return content{}, err
	}
	return content{r, revision}, s.take(r)
}

// handleEvent applies one change of a watched key. The head is the last write
// of each transaction.
func (s *Source) handleEvent(r *raw, e store.Event) error {
	key := strings.TrimPrefix(e.Entry().Key(), s.Prefix)
	if e.Deleted() {
		r.remove(key)
		return nil
	}
	r.put(key, e.Entry())
	if key != headKey {
		return nil
	}
	if err := s.take(r); err != nil {
		return errors.CombineErrors(errBehind, err)
	}
	return nil
}

// take puts the store's state in force if it is newer, and spreads it.
func (s *Source) take(r *raw) error {
	head, err := r.headMessage()
	if err != nil || head.GetRevision() == 0 {
		return err
	}
	s.observe(head)
	if head.GetRevision() <= s.Revision() {
		return nil
	}
	_, err = s.adopt(originStore, head, func(now *Snapshot) (*Snapshot, error) {
		sections, err := r.decode(head)
		if err != nil {
			return nil, err
		}
		return advanced(now, head, now.compare(sections))
	})
	var invalid *InvalidError
	if errors.Is(err, errOlder) || errors.As(err, &invalid) {
		return nil
	}
	if err == nil {
		s.wakeSpread()
	}
	return err
}
