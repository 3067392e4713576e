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

// Waits between attempts to reach the store.
const (
	storeRetryBase = 200 * time.Millisecond
	storeRetryMax  = 3 * time.Second
	// maxStartupAuditDelay bounds the time until a router that is not a watcher
	// reads the store if it has no document yet.
	maxStartupAuditDelay = 3 * time.Second
)

// errWatchBehind ends a watch that did not deliver the store's newest state.
var errWatchBehind = errors.New("the watch did not deliver the newest state of the store")

// originStore is the Origin of a snapshot that was read from the store.
const originStore = "store"

// followStore watches the store while this router is one of its zone's
// watchers; otherwise it reads the head at random intervals around AuditInterval.
func (s *Source) followStore(ctx context.Context) error {
	backoff := pause.Backoff{Base: storeRetryBase, Max: storeRetryMax, Rand: s.Rand}
	failures := 0
	// This wait lets peers deliver their state before the store is read.
	pause.For(ctx, s.PeerInterval/2+time.Duration(s.Rand()*float64(s.PeerInterval)))
	nextAudit := s.Clock.Now().Add(s.nextAuditDelay())
	for ctx.Err() == nil {
		watching := s.isWatcher()
		s.setWatching(watching)
		var err error
		switch {
		case watching:
			err = s.watch(ctx)
		case !s.Clock.Now().Before(nextAudit):
			err = s.auditHead(ctx)
			nextAudit = s.Clock.Now().Add(s.nextAuditDelay())
		}
		if err == nil || errors.Is(err, store.ErrWatchEnded) || errors.Is(err, errWatchBehind) {
			failures = 0
			pause.For(ctx, s.PeerInterval)
			continue
		}
		s.Log.WithError(err).Debug("configuration not read from the store")
		// Wait fails only when ctx ends, and so does the loop.
		_ = backoff.Wait(ctx, failures)
		failures++
	}
	return nil
}

// nextAuditDelay returns a random delay, so that routers do not read the store
// at the same time. It is short as long as there is no document.
func (s *Source) nextAuditDelay() time.Duration {
	if s.Revision() == 0 {
		return time.Duration(s.Rand() * float64(maxStartupAuditDelay))
	}
	return s.AuditInterval/2 + time.Duration(s.Rand()*float64(s.AuditInterval))
}

// auditHead reads the head, and the complete state if the store's is newer.
func (s *Source) auditHead(ctx context.Context) error {
	behind, err := s.checkHead(ctx)
	if err != nil || !behind {
		return err
	}
	_, err = s.readAll(ctx)
	return err
}

// isWatcher reports whether this router is one of its zone's watchers. A router
// that is shutting down is not live and is never a watcher.
func (s *Source) isWatcher() bool {
	var live []string
	for _, m := range s.Members.Live(s.Self.Zone()) {
		live = append(live, string(m.ID()))
	}
	return slices.Contains(selectWatchers(headKey, live), string(s.Self.ID()))
}

// watch reads the state and applies its changes until the watch ends or misses a
// change, or this router is no longer a watcher.
func (s *Source) watch(ctx context.Context) error {
	content, err := s.readAll(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.Store.Watch(ctx, s.Prefix+statePrefix, content.revision+1, func(e store.Event) error {
			return s.handleEvent(content.raw, e)
		})
	})
	group.Go(func() error { return s.superviseWatch(ctx) })
	return group.Wait()
}

// superviseWatch reads the head regularly. It returns an error, which ends the
// watch, when the watch missed a change or this router is no longer a watcher.
func (s *Source) superviseWatch(ctx context.Context) error {
	for pause.For(ctx, s.PollInterval) {
		if !s.isWatcher() {
			return store.ErrWatchEnded
		}
		behind, err := s.checkHead(ctx)
		if err != nil || behind {
			return errors.CombineErrors(err, errWatchBehind)
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
	s.recordStoredHead(head)
	return head.GetRevision() > s.Revision() && !s.isRefused(head.GetRevision()), nil
}

// content holds the document's keys with the store's revision at which they were read.
type content struct {
	*raw
	revision store.Revision
}

// readAll reads the complete state, puts it in force if it is newer, and returns it.
func (s *Source) readAll(ctx context.Context) (content, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	r, revision, err := readRaw(ctx, s.Store, s.Prefix)
	if err != nil {
		return content{}, err
	}
	return content{r, revision}, s.adoptStored(r)
}

// handleEvent applies one change of a watched key. The head is the last write
// of each transaction, so the state is complete when the head changes.
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
	if err := s.adoptStored(r); err != nil {
		return errors.CombineErrors(errWatchBehind, err)
	}
	return nil
}

// adoptStored puts the store's state in force if it is newer, and requests a
// push to other routers. An invalid document raises an alarm but is no error.
func (s *Source) adoptStored(r *raw) error {
	head, err := r.decodeHead()
	if err != nil || head.GetRevision() == 0 {
		return err
	}
	s.recordStoredHead(head)
	if head.GetRevision() <= s.Revision() {
		return nil
	}
	_, err = s.adopt(originStore, head, func(current *Snapshot) (*Snapshot, error) {
		sections, err := r.decodeSections(head)
		if err != nil {
			return nil, err
		}
		return applyDifference(current, head, current.differenceTo(sections))
	})
	var invalid *InvalidError
	if errors.Is(err, errNotNewer) || errors.As(err, &invalid) {
		return nil
	}
	if err == nil {
		s.requestPush()
	}
	return err
}
