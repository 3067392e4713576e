package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

const (
	// listIntervalFraction is the interval between two reads of the list of replicas, as a
	// fraction of the time in which a leaving replica may receive requests.
	listIntervalFraction = 0.25
	// listRankDelay is how much longer each router waits than the one before it in the order for
	// others to read the list, before it reads the list itself.
	listRankDelay = 90 * time.Millisecond
	// listStartPhase is the time after a start in which the other routers become known. Until it
	// ends a router waits listStartIntervals intervals for a list.
	listStartPhase     = 2 * time.Second
	listStartIntervals = 3
	// maxListWaitFraction is the maximum time until a router checks again whether to read the
	// list, as a fraction of the list interval: routers that precede it may have departed.
	maxListWaitFraction = 0.5
	// maxPageRefusals is the number of refused pages after which reading the list is abandoned.
	maxPageRefusals = 4
	// changeCheckTimeout is how long the store may hold a check for changes.
	changeCheckTimeout = time.Millisecond
	// listTopic determines the order of the routers that read the list.
	listTopic = "list"
	// outageGracePeriod is how long after an outage of the store missing entries are treated as
	// expired instead of removed: replicas that are alive register again within that time.
	outageGracePeriod = 2200 * time.Millisecond
	// readerRetentionIntervals is the number of intervals for which a router that has read the
	// list remains its reader.
	readerRetentionIntervals = 3
	// delegateFraction is the time after which a list that has not arrived is read by other
	// routers too, as a fraction of the time in which a leaving replica may receive requests.
	delegateFraction = 0.07
	// outageIntervals is the number of intervals without any list that indicates an outage,
	// in addition to the time in which updates spread.
	outageIntervals = 2.5
)

// followReplicas keeps the list of replicas current until ctx ends. The first router in a common
// order reads the list from the store and the others receive it from that one. If they don't,
// they read it themselves, one after another.
func (r *Router) followReplicas(ctx context.Context) error {
	retry := pause.Backoff{Base: minRetryDelay, Max: maxRetryDelay}
	failures := 0
	mayDelegate := true // only once until a list is read in time again
	started := r.clock.Now()
	for ctx.Err() == nil {
		r.countWakeUp("list")
		rank := r.node.Rank(listTopic)
		hops := 0
		if wait := r.listWait(started, rank); wait > 0 {
			if rank > 0 {
				wait = min(wait, time.Duration(maxListWaitFraction*float64(r.listInterval())))
			}
			forwards, delegated := r.waitForDelegation(ctx, wait)
			if !delegated {
				continue
			}
			hops = forwards
		}
		var err error
		if mayDelegate, err = r.readListOrDelegate(ctx, mayDelegate, hops); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			r.recordStoreCall("replicas", err)
			r.waitForDelegation(ctx, retry.Delay(failures))
			failures++
			continue
		}
		r.recordStoreCall("replicas", nil)
		failures = 0
	}
	return nil
}

// waitForDelegation waits for a time, or until another router that cannot read the list delegates
// that to this one. It returns how often the request was forwarded.
func (r *Router) waitForDelegation(ctx context.Context, wait time.Duration) (hops int, delegated bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case hops := <-r.delegated:
		at, _ := r.lists.latest()
		// Another router may have read the list in the meantime.
		return hops, r.clock.Now().Sub(at) > r.listInterval()/2
	}
	return 0, false
}

// readListOrDelegate reads the list. If that fails or takes long and mayDelegate is set, it
// requests the next routers in the order to read the list. Otherwise they would wait longer,
// since they cannot know that this router has not received the list. It reports whether the list
// was read in time.
func (r *Router) readListOrDelegate(ctx context.Context, mayDelegate bool, hops int) (inTime bool, err error) {
	var late atomic.Bool
	delegate := func() {
		if !late.Swap(true) && mayDelegate {
			r.Log.Event("delegated", "task", listTopic, "hops", hops)
			r.node.Delegate(listTopic, hops)
		}
	}
	timer := time.AfterFunc(r.delegateDelay(), delegate)
	defer timer.Stop()
	err = r.readList(ctx)
	if err != nil && ctx.Err() == nil {
		delegate()
	}
	return !late.Load(), err
}

// delegateDelay is the time after which a list that has not arrived is read by other routers too.
func (r *Router) delegateDelay() time.Duration {
	return time.Duration(delegateFraction * float64(r.bounds.Load().drainTime))
}

// listWait returns how long a router with this rank in the order of readers has to wait until it
// reads the list: 0 if it has never had a list, or if the newest one that it knows of is too old.
func (r *Router) listWait(started time.Time, rank int) time.Duration {
	at, _ := r.lists.latest()
	if at.IsZero() || !r.hasList.Load() {
		return 0
	}
	now := r.clock.Now()
	wait := r.listInterval()
	if now.Sub(started) < listStartPhase {
		wait *= listStartIntervals
	}
	if rank > 0 && !r.lists.isActiveReader(now, r.listInterval()) {
		wait += r.node.SpreadTime() + time.Duration(rank)*listRankDelay
	}
	return max(wait-now.Sub(at), 0)
}

func (r *Router) readList(ctx context.Context) error {
	startedAt := r.clock.Now()
	list, err := r.readPages(ctx)
	if err != nil {
		return err
	}
	if !r.recordStorePosition(list.At, "list") {
		return errOldEpoch
	}
	restored := r.lists.recordRead(r.clock.Now(), startedAt, r.outageGap(), r.node.Rank(listTopic) == 0)
	_, outage := r.lists.latest()
	lapsed := startedAt.Sub(outage) < outageGracePeriod
	changed := r.table.MergeSnapshot(list.At, list.Entries, lapsed)
	if !lapsed {
		r.table.RecordAllReady(startedAt)
	}
	r.hasList.Store(true)
	r.Log.Event("listed", "revision", list.At.Revision, "replicas", len(list.Entries), "changed", len(changed), "lapsed", lapsed, "took", r.clock.Now().Sub(startedAt))
	if restored {
		r.Log.Event("copy", "epoch", list.At.Epoch, "listed", len(list.Entries), "changed", len(changed), "kept", r.table.Count())
	}
	r.publishChanges("store", changed)
	r.logMalformedKeys(list.MalformedKeys)
	return r.checkConfiguration(ctx)
}

// readPages reads all pages of the list. It retries a page that the store refuses: if it started
// over, many routers that start at once and are refused now and then would hardly ever finish.
func (r *Router) readPages(ctx context.Context) (replicas.Page, error) {
	var all replicas.Page
	retry := pause.Backoff{Base: minRetryDelay, Max: maxRetryDelay}
	refused := 0
	for {
		p, err := r.Source.Replicas(ctx, all.Next)
		if err != nil {
			if all.Next == "" || refused >= maxPageRefusals || !pause.For(ctx, retry.Delay(refused)) {
				return all, err
			}
			refused++
			continue
		}
		if all.Next == "" {
			all.At = p.At
		}
		if all.At.Epoch != p.At.Epoch {
			return all, errOldEpoch
		}
		all.Entries = append(all.Entries, p.Entries...)
		all.MalformedKeys = append(all.MalformedKeys, p.MalformedKeys...)
		all.Next = p.Next
		if p.Next == "" {
			return all, nil
		}
	}
}

// checkConfiguration checks for a change that no watch reported: a watch may hang, or miss a
// change that the store makes while it compacts its history. It requests the changes since this
// router last read the configuration outside of its watch, since an empty response does not prove
// that nothing changed up to the revision that it returns. Every completeReadInterval it reads
// the complete configuration.
func (r *Router) checkConfiguration(ctx context.Context) error {
	from, due := r.configCheck.next(r.clock.Now())
	if !due {
		return nil
	}
	if from.Revision != 0 {
		doc, evacuations, at, err := r.Source.NextDocument(ctx, from, changeCheckTimeout)
		r.mergeEvacuations(evacuations, "list")
		if err == nil {
			if doc != nil {
				r.applyConfiguration(doc, "list")
			}
			if doc != nil || len(evacuations.Evacuations) > 0 {
				r.configCheck.recordPosition(at)
			}
			return nil
		}
		r.configCheck.recordPosition(peridotusher.Position{})
		if !errors.Is(err, routing.ErrChangesUnavailable) {
			return err
		}
	}
	_, _, err := r.readConfiguration(ctx, "list")
	return err
}

// listInterval is the interval between two reads of the list of replicas.
func (r *Router) listInterval() time.Duration {
	return time.Duration(listIntervalFraction * float64(r.bounds.Load().drainTime))
}

// outageGap is the time without any list that indicates an outage of the store.
func (r *Router) outageGap() time.Duration {
	return time.Duration(outageIntervals*float64(r.listInterval())) + r.node.SpreadTime()
}
