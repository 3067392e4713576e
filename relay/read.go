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
	// largeReadTokens is the number of shared prompt tokens from which it pays to wait while
	// another request has them read: reading them takes some tens of milliseconds.
	largeReadTokens = 2000
	// maxReadWaitFraction limits the wait, as a fraction of the route's latency objective.
	maxReadWaitFraction = 0.5
	// readCheckInterval is the interval of checks whether a read known to this router has ended.
	readCheckInterval = 4 * time.Millisecond
	// readQueryInterval is the interval of queries to another router about its reads.
	readQueryInterval = 40 * time.Millisecond
)

// awaitRead waits while the replica reads the longest shared part of the prompt for another
// request, so that it need not read it twice. It returns the time waited.
func (t *task) awaitRead(ctx context.Context, r *replicas.Replica) time.Duration {
	p, large := t.largePart(r)
	if !large {
		return 0
	}
	f := t.proxy
	began := f.Clock.Now()
	limit := time.Duration(maxReadWaitFraction * float64(t.route.Objective))
	for f.Clock.Now().Sub(began) < limit && ctx.Err() == nil {
		switch {
		case f.Reads.Reading(p):
			pause.For(ctx, readCheckInterval)
		case t.isReportedReading(p.Replica):
			pause.For(ctx, readQueryInterval)
			t.cacheHolders = f.CacheHolders(ctx, p.Key)
		default:
			return f.Clock.Now().Sub(began)
		}
	}
	return f.Clock.Now().Sub(began)
}

// isReportedReading reports whether another router has reported that the replica reads the part.
func (t *task) isReportedReading(replica uint32) bool {
	return slices.ContainsFunc(t.cacheHolders, func(h placing.CacheHolder) bool { return h.Replica == replica && h.Reading })
}

// beginRead publishes that the replica reads or fetches the longest shared part of the prompt,
// unless it holds the part, until the first event or the end of the attempt.
func (t *task) beginRead(r *replicas.Replica) (end func()) {
	t.endRead = func() {}
	p, large := t.largePart(r)
	if !large || t.choice.Reason == placing.ReasonHolder {
		return t.endRead
	}
	f := t.proxy
	endOwnRead := f.Reads.Begin(p)
	f.PublishPlacements(placing.ReadStarted, p)
	f.broadcastReads()
	t.endRead = sync.OnceFunc(func() {
		endOwnRead()
		f.PublishPlacements(placing.ReadEnded, p)
		f.broadcastReads()
	})
	return t.endRead
}

// broadcastReads publishes the reads to the other routers immediately, unless there are so many
// routers that most would receive the message after the end of the read.
func (f *Proxy) broadcastReads() {
	if !f.Table.UsesReports() {
		f.BroadcastReads()
	}
}

// partsOrigin returns how the replica gets the shared parts of the prompt, as it is counted.
func (t *task) partsOrigin() string {
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

// largePart returns the longest shared part of the prompt as placed at the replica, and whether
// the shared parts have at least largeReadTokens tokens.
func (t *task) largePart(r *replicas.Replica) (p placing.Placement, large bool) {
	if !t.route.Cached || len(t.call.Prompt) == 0 {
		return placing.Placement{}, false
	}
	shared := t.sharedParts()
	return placing.Placement{Key: shared[len(shared)-1].ID, Replica: r.Hash()}, promptTokens(shared) >= largeReadTokens
}
