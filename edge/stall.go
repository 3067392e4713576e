package edge

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/relay"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// maxUnnoticedStall is the longest stall that the detector does not notice. It exceeds
	// housekeepingInterval, at which the process shows that it runs.
	maxUnnoticedStall = mesh.DatagramDelay + relay.ExitMargin
	// stallAftermath is how long after a stall datagrams are processed that waited in the socket's queue.
	stallAftermath = time.Second
)

// stallDetector detects that the process did not run, or ran late, for so long that the times in datagrams
// which waited meanwhile are too short to be used. It is safe for concurrent use.
type stallDetector struct {
	mu        sync.Mutex
	tickedAt  time.Time
	stalledAt time.Time // when the end of the latest stall was noticed; zero if there was none
}

// tick records that the process runs. It has to be called each housekeepingInterval.
func (d *stallDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > maxUnnoticedStall {
		d.stalledAt = now
	}
	d.tickedAt = now
}

// recent reports whether datagrams that are processed now may have waited during a stall.
func (d *stallDetector) recent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	noticed := !d.stalledAt.IsZero() && now.Sub(d.stalledAt) < stallAftermath
	return noticed || now.Sub(d.tickedAt) > maxUnnoticedStall
}

// stalledRecently reports whether messages that are processed now may have waited during a stall.
func (r *Router) stalledRecently() bool {
	return r.stalls.recent(r.clock.Now().Add(r.clock.suspended()))
}

// forgetReadyTimes removes the times from entries of a message that may have waited for long, since they
// are too short then.
func forgetReadyTimes(entries []replicas.Entry) {
	for i := range entries {
		entries[i].SinceReady = 0
	}
}
