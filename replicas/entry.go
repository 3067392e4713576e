package replicas

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is the platform's record of one replica, as of a revision of the platform's store.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// StartedAt is the replica's start time in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// Seq increases with each report that the replica makes within one start; 0 if unknown.
	Seq int64
	// ColdRemaining is how much longer the replica is cold, counted from when the entry was read. It
	// is only known if ReportsCold is set.
	ColdRemaining time.Duration
	ReportsCold   bool
	// Leaving is set if the replica takes no new requests since it is about to stop.
	Leaving bool
	// LeavingAnnounced is set if the replica itself reported in an answer that it is leaving. It
	// then stays set until the replica restarts, whatever is in the store.
	LeavingAnnounced bool
	// Removed is set if the replica is no longer in the store.
	Removed bool
	// SinceReady is the time since the store was last known to hold the replica as ready. It is set only
	// for a replica that is leaving or removed, which has been so for at most that long; 0 if unknown.
	SinceReady time.Duration
	// Epoch and Revision identify the change of the store that the entry describes.
	Epoch, Revision int64
}

// Usable reports whether new requests may go to the replica.
func (e *Entry) Usable() bool { return !e.Leaving && !e.Removed }

// equivalentForRouting reports whether e and next lead to the same routing decisions.
func (e *Entry) equivalentForRouting(next *Entry) bool {
	return e.Service == next.Service && e.Address == next.Address && e.Zone == next.Zone &&
		e.Slots == next.Slots && e.StartedAt == next.StartedAt && e.Leaving == next.Leaving &&
		e.LeavingAnnounced == next.LeavingAnnounced && e.Removed == next.Removed
}

// digest returns a hash of the fields that routing decisions depend on. cold is whether the
// replica is cold by its own report.
func (e *Entry) digest(cold bool) uint64 {
	d := xxhash.New()
	d.WriteString(e.ID)
	d.WriteString(e.Address)
	if e.Leaving {
		d.WriteString("\x00leaving")
	}
	if cold {
		d.WriteString("\x00cold")
	}
	return d.Sum64()
}

// HashOf returns the hash that identifies one start of a replica in messages between
// routers. A restart changes it, since a restarted replica has lost its cached parts.
func HashOf(id string, startedAt int64) uint32 {
	d := xxhash.New()
	d.WriteString(id)
	if startedAt != 0 {
		d.Write(binary.BigEndian.AppendUint64(nil, uint64(startedAt)))
	}
	return uint32(d.Sum64())
}
