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
	// listPace is the time between two lists of replicas, as a part of the time
	// in which a leaving one may get requests.
	listPace = 0.25
	// listStep is how much longer each further router waits for the list of
	// another one before it reads itself.
	listStep = 90 * time.Millisecond
	// listStart is the time after a start in which the other routers become known,
	// and listFirst the number of paces that a router waits meanwhile.
	listStart = 2 * time.Second
	listFirst = 3
	// listLook is the longest time between two decisions to read or not, as a part
	// of the time between two lists: the routers that come before may have gone.
	listLook = 0.5
	// pageRefused is the number of refusals after which a list is given up.
	pageRefused = 4
	// checkWait is how long a check for changes may wait.
	checkWait = time.Millisecond
	// listTopic orders the routers that read the list.
	listTopic = "list"
	// outageMemory is how long after an outage of the store missing entries are
	// taken as lapsed and not as gone: living replicas are back by then.
	outageMemory = 2200 * time.Millisecond
	// keepsPaces is the number of paces after its last list in which a router goes on
	// as their reader.
	keepsPaces = 3
	// delegateAfter is the time, as a part of that in which a leaving replica may get
	// requests, after which a list that does not come is read by others too.
	delegateAfter = 0.07
	// outagePaces is the number of paces without any list, beyond the time in
	// which news spreads, that shows an outage.
	outagePaces = 2.5
)

// followReplicas keeps the list of replicas current until ctx ends. Of all
// routers the first in a common order reads the list; the others get it and
// step in, one after the other, if they don't.
func (r *Router) followReplicas(ctx context.Context) error {
	retry := pause.Backoff{Base: retryFirst, Max: retryLast}
	failures := 0
	eager := true // to pass the reading on: once in a time of trouble
	started := r.clock.Now()
	for ctx.Err() == nil {
		r.woke("list")
		rank := r.node.Rank(listTopic)
		hops := 0
		if wait := r.listWait(started, rank); wait > 0 {
			if rank > 0 {
				wait = min(wait, time.Duration(listLook*float64(r.listPace())))
			}
			asked, delegated := r.awaitList(ctx, wait)
			if !delegated {
				continue
			}
			hops = asked
		}
		var err error
		if eager, err = r.readListOrDelegate(ctx, eager, hops); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			r.storeAnswered("replicas", err)
			r.awaitList(ctx, retry.Delay(failures))
			failures++
			continue
		}
		r.storeAnswered("replicas", nil)
		failures = 0
	}
	return nil
}

// awaitList waits for a time, or until another router that cannot read the list has this
// one read it. It returns how often that was passed on.
func (r *Router) awaitList(ctx context.Context, wait time.Duration) (hops int, delegated bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case hops := <-r.delegated:
		at, _ := r.reading.last()
		// Another one may have read it meanwhile.
		return hops, r.clock.Now().Sub(at) > r.listPace()/2
	}
	return 0, false
}

// readListOrDelegate reads the list. If that fails, or takes long, and eager is set, the
// routers that follow are asked to read it: without that they wait for longer, since they
// cannot know that this one does not get it. It reports whether the list came in time.
func (r *Router) readListOrDelegate(ctx context.Context, eager bool, hops int) (inTime bool, err error) {
	var late atomic.Bool
	pass := func() {
		if !late.Swap(true) && eager {
			r.Log.Event("delegated", "task", listTopic, "hops", hops)
			r.node.Delegate(listTopic, hops)
		}
	}
	timer := time.AfterFunc(r.delegateTime(), pass)
	defer timer.Stop()
	err = r.readList(ctx)
	if err != nil && ctx.Err() == nil {
		pass()
	}
	return !late.Load(), err
}

// delegateTime is the time after which a list that does not come is read by others too.
func (r *Router) delegateTime() time.Duration {
	return time.Duration(delegateAfter * float64(r.bounds.Load().drain))
}

// listWait returns how long this router, of a rank among those that read the list, has
// still to wait before it reads it: not at all if it has never had one, or if the
// others' last one is too old.
func (r *Router) listWait(started time.Time, rank int) time.Duration {
	at, _ := r.reading.last()
	if at.IsZero() || !r.listed.Load() {
		return 0
	}
	now := r.clock.Now()
	wait := r.listPace()
	if now.Sub(started) < listStart {
		wait *= listFirst
	}
	if rank > 0 && !r.reading.keeps(now, r.listPace()) {
		wait += r.node.SpreadTime() + time.Duration(rank)*listStep
	}
	return max(wait-now.Sub(at), 0)
}

func (r *Router) readList(ctx context.Context) error {
	began := r.clock.Now()
	list, err := r.readPages(ctx)
	if err != nil {
		return err
	}
	if !r.noteStore(list.At, "list") {
		return errOldEpoch
	}
	copied := r.reading.read(r.clock.Now(), began, r.outageGap(), r.node.Rank(listTopic) == 0)
	_, outage := r.reading.last()
	lapsed := began.Sub(outage) < outageMemory
	changed := r.table.MergeSnapshot(list.At, list.Entries, lapsed)
	r.listed.Store(true)
	r.Log.Event("listed", "revision", list.At.Revision, "replicas", len(list.Entries), "changed", len(changed), "lapsed", lapsed, "took", r.clock.Now().Sub(began))
	if copied {
		r.Log.Event("copy", "epoch", list.At.Epoch, "listed", len(list.Entries), "changed", len(changed), "kept", r.table.Count())
	}
	r.changed("store", changed)
	r.malformedAll(list.MalformedKeys)
	return r.checkConfiguration(ctx)
}

// readPages reads the whole list. A page that the store refuses is asked for again:
// were the list begun anew, many routers that start at once and are refused now and
// then would hardly ever end it.
func (r *Router) readPages(ctx context.Context) (replicas.Page, error) {
	var all replicas.Page
	retry := pause.Backoff{Base: retryFirst, Max: retryLast}
	refused := 0
	for {
		p, err := r.Source.Replicas(ctx, all.Next)
		if err != nil {
			if all.Next == "" || refused >= pageRefused || !pause.For(ctx, retry.Delay(refused)) {
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

// checkConfiguration looks for a change that no watch reported: a watch may hang,
// or miss a change that the store makes while it drops history. It asks for
// changes since the last time that the configuration was read itself, since what
// an empty answer says of the revisions between is not certain, and reads it whole
// now and then.
func (r *Router) checkConfiguration(ctx context.Context) error {
	from, due := r.checked.next(r.clock.Now())
	if !due {
		return nil
	}
	if from.Revision != 0 {
		doc, evacuations, at, err := r.Source.NextDocument(ctx, from, checkWait)
		r.evacuate(evacuations, "list")
		if err == nil {
			if doc != nil {
				r.offer(doc, "list")
			}
			if doc != nil || len(evacuations.Evacuations) > 0 {
				r.checked.read(at)
			}
			return nil
		}
		r.checked.read(peridotusher.Position{})
		if !errors.Is(err, routing.ErrChangesUnavailable) {
			return err
		}
	}
	_, _, err := r.readConfiguration(ctx, "list")
	return err
}

// listPace is the time between two lists of replicas.
func (r *Router) listPace() time.Duration {
	return time.Duration(listPace * float64(r.bounds.Load().drain))
}

// outageGap is the time without any list that shows an outage of the store.
func (r *Router) outageGap() time.Duration {
	return time.Duration(outagePaces*float64(r.listPace())) + r.node.SpreadTime()
}
