package relay

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/tcp"
)

// ExitMargin is by how much the time since a replica was ready may be longer than known, because the
// message with it waited at a router that ran late.
const ExitMargin = 300 * time.Millisecond

// Registry is what the platform knows of replicas at the moment. A router learns of changes later.
type Registry interface {
	// Entry reads the entry of a replica. Removed is set if there is none; a replica that has just
	// crashed still has one.
	Entry(ctx context.Context, r *replicas.Replica) (replicas.Entry, error)
	// Lag returns how much later than the platform this router may learn of a change of a replica.
	Lag() time.Duration
}

// brokeOffAtEnd reports whether a body that ended with its connection was broken off: by a reset, or by a
// crash of the replica, since the kernel closes the connections of a process that has crashed in order.
func (t *task) brokeOffAtEnd(ctx context.Context, x *exchange) bool {
	if isDelimited(x.resp) {
		return false
	}
	return x.conn.wasReset() || t.proxy.hasCrashed(ctx, x.replica, tcp.CloseTimeout)
}

// hasCrashed reports whether a replica has ended, or ends within a time, other than by a planned exit,
// before which it ends its answers.
func (f *Proxy) hasCrashed(ctx context.Context, r *replicas.Replica, within time.Duration) bool {
	leaving := f.leavingFor(r)
	if f.mayHaveExited(r, leaving) || !f.hasEnded(ctx, r, within) {
		return false
	}
	planned, err := f.wasDeparting(ctx, r, leaving > 0)
	f.Log.Event("ended", "replica", r.ID(), "planned", planned, "leaving", leaving, "error", err)
	return !planned
}

// mayHaveExited reports whether a replica that has been known to be leaving for that long may have
// exited as planned. The time for which it goes on serving begins when the platform accepts its report,
// before this router learns of it: after the replica was last ready, or, if it is not known when that was,
// at most Lag before.
func (f *Proxy) mayHaveExited(r *replicas.Replica, leaving time.Duration) bool {
	if leaving <= 0 || f.DrainTime == nil {
		return false
	}
	if d, ok := f.Table.SinceReady(r); ok {
		return d >= f.DrainTime()-ExitMargin
	}
	if f.Registry != nil {
		leaving += f.Registry.Lag()
	}
	return leaving >= f.DrainTime()
}

// hasToServe reports whether a replica cannot have exited as planned yet, since it was ready less than
// the drain time ago.
func (f *Proxy) hasToServe(r *replicas.Replica) bool {
	if f.DrainTime == nil {
		return false
	}
	d, ok := f.Table.SinceReady(r)
	return ok && d < f.DrainTime()-ExitMargin
}

// leavingFor returns for how long the replica has been known to be leaving or removed; 0 if it is
// neither.
func (f *Proxy) leavingFor(r *replicas.Replica) time.Duration {
	if current, ok := f.Table.Current(r); ok {
		r = current
	}
	return r.LeavingFor(f.Clock.Now())
}

// wasDeparting reports whether the platform knew of a replica's departure before the replica ended: it
// is no longer registered, or is leaving and this router had not learned of it. A replica that still had
// to serve was not.
func (f *Proxy) wasDeparting(ctx context.Context, r *replicas.Replica, learned bool) (bool, error) {
	if f.Registry == nil || f.hasToServe(r) {
		return false, nil
	}
	e, err := f.Registry.Entry(ctx, r)
	if err != nil {
		return false, err
	}
	return e.Removed || e.Leaving && !learned && replicas.HashOf(e.ID, e.StartedAt) == r.Hash(), nil
}

// hasEnded reports whether a replica refuses connections, or comes to refuse them within a time. A replica
// that only drops connections leaves the one open that is opened to find out, which is kept for a later
// request.
func (f *Proxy) hasEnded(ctx context.Context, r *replicas.Replica, within time.Duration) bool {
	open, ended := tcp.HasEnded(ctx, within, func(ctx context.Context) (*conn, error) { return dial(ctx, r.Address(), dialTimeout) })
	if open != nil {
		f.Pool.put(r, open, probedConnTTL)
	}
	if ended {
		f.markUnreachable(r)
	}
	return ended
}
