package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// largeRead is the number of shared prompt tokens from which it pays to wait
	// for another request that has them read: some tens of milliseconds.
	largeRead = 2000
	// readWaitPart bounds the wait, as a part of the route's latency objective.
	readWaitPart = 0.5
	// readLook is the time between two looks whether the read has ended.
	readLook = 4 * time.Millisecond
	// readAsk is the time between two questions to another router for the same.
	readAsk = 40 * time.Millisecond
)

// awaitRead waits while the replica reads the longest shared part of the prompt
// for another request, so that it need not read it twice. It returns how long.
func (t *task) awaitRead(ctx context.Context, r *replicas.Replica) time.Duration {
	p, large := t.largePart(r)
	if !large {
		return 0
	}
	f := t.front
	began := f.Clock.Now()
	limit := time.Duration(readWaitPart * float64(t.route.Objective))
	for f.Clock.Now().Sub(began) < limit && ctx.Err() == nil {
		switch {
		case f.Reads.Reading(p):
			pause.For(ctx, readLook)
		case t.isReadingThere(p.Replica):
			pause.For(ctx, readAsk)
			t.cacheHolders = f.CacheHolders(ctx, p.Key)
		default:
			return f.Clock.Now().Sub(began)
		}
	}
	return f.Clock.Now().Sub(began)
}

// isReadingThere reports whether the replica reads the part according to another router.
func (t *task) isReadingThere(replica uint32) bool {
	return slices.ContainsFunc(t.cacheHolders, func(h placing.CacheHolder) bool { return h.Replica == replica && h.Reading })
}

// beginRead notes that the replica reads or fetches the longest shared part of the
// prompt, if it does not have it, until the first event or the end of the try.
func (t *task) beginRead(r *replicas.Replica) (end func()) {
	t.reading = func() {}
	p, large := t.largePart(r)
	if !large || t.choice.Reason == placing.ReasonHolder {
		return t.reading
	}
	f := t.front
	read := f.Reads.Begin(p)
	f.PublishPlacements(placing.ReadStarted, p)
	f.broadcastReads()
	t.reading = sync.OnceFunc(func() {
		read()
		f.PublishPlacements(placing.ReadEnded, p)
		f.broadcastReads()
	})
	return t.reading
}

// broadcastReads publishes the reads to the other routers at once, unless there are so many
// that most would get the message after the read's end.
func (f *Front) broadcastReads() {
	if !f.Table.UsesReports() {
		f.Broadcast()
	}
}

// partsHow says how the replica gets the shared parts of the prompt.
func (t *task) partsHow() string {
	switch {
	case !t.route.Cached || len(t.call.Prompt) == 0:
		return ""
	case t.choice.Reason == placing.ReasonHolder:
		return "held"
	case t.source != "":
		return "fetched"
	}
	return "read"
}

// largePart returns the longest shared part of the prompt at the replica, and
// whether the shared parts are large.
func (t *task) largePart(r *replicas.Replica) (p placing.Placement, large bool) {
	if !t.route.Cached || len(t.call.Prompt) == 0 {
		return placing.Placement{}, false
	}
	shared := t.sharedParts()
	return placing.Placement{Key: shared[len(shared)-1].ID, Replica: r.Hash()}, promptTokens(shared) >= largeRead
}
