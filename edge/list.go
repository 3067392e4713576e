package edge

import (
	"context"
	"sync"
	"time"
)

const (
	// listPace is the time between two lists of replicas, as a part of the time
	// in which a leaving one may get requests.
	listPace = 0.33
	// listStep is how much longer each further router waits for the list of
	// another one before it reads itself.
	listStep = 90 * time.Millisecond
	// listLook is the time between two decisions to read or not.
	listLook = 40 * time.Millisecond
	// listTopic orders the routers that read the list.
	listTopic = "list"
	// outageMemory is how long after an outage of the store missing entries are
	// taken as lapsed and not as gone.
	outageMemory = 4 * time.Second
)

// reading is what is known of the newest list.
type reading struct {
	mu     sync.Mutex
	at     time.Time // when the newest list that is known of was read
	failed time.Time // when the store last did not answer
}

// heard takes in that another router read the list at a time.
func (l *reading) heard(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.at) {
		l.at = at
	}
}

func (l *reading) fail(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = now
}

func (l *reading) last() (at, failed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at, l.failed
}

// followReplicas keeps the list of replicas current until ctx ends. Of all
// routers the first in a common order reads the list; the others hear of it and
// step in, one after the other, if they don't.
func (r *Router) followReplicas(ctx context.Context) error {
	pause := backoff{first: retryFirst, last: retryLast}
	for ctx.Err() == nil {
		pace := time.Duration(listPace * float64(r.bounds.Load().drain))
		at, _ := r.reading.last()
		wait := pace
		if rank := r.node.Rank(listTopic); rank > 0 {
			wait += r.node.SpreadTime() + time.Duration(rank)*listStep
		}
		if !at.IsZero() && r.clock.Now().Sub(at) < wait {
			sleep(ctx, listLook)
			continue
		}
		if err := r.readList(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			r.reading.fail(r.clock.Now())
			r.storeAnswered("replicas", err)
			sleep(ctx, pause.next())
			continue
		}
		r.storeAnswered("replicas", nil)
		pause.reset()
	}
	return nil
}

func (r *Router) readList(ctx context.Context) error {
	began := r.clock.Now()
	entries, revision, malformed, err := r.Source.Replicas(ctx)
	if err != nil {
		return err
	}
	// A watch may miss a change that the store makes while it drops history, or
	// hang; the newest configuration is read along with the list.
	doc, _, err := r.Source.Document(ctx)
	if err != nil {
		return err
	}
	if doc != nil {
		r.offer(doc, "list")
	}
	_, failed := r.reading.last()
	lapsed := !failed.IsZero() && began.Sub(failed) < outageMemory
	changed := r.table.Snapshot(revision, entries, lapsed)
	r.reading.heard(began)
	r.listed.Store(true)
	r.logChanges("store", changed)
	for _, key := range malformed {
		r.malformed(key)
	}
	return nil
}
