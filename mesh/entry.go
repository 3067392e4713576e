package mesh

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/replicas"
)

// The field numbers of a replica's entry on the wire.
const (
	entryID protowire.Number = iota + 1
	entryService
	entryAddress
	entryZone
	entrySlots
	entryStartedAt
	entryLeaving
	entryGone
	entryRevision
	entryEpoch
	entrySeq
	entryAnnounced
	entryReportsCold
	entryCold
	entrySinceReady
)

// maxSlots bounds the slots of a replica in a message.
const maxSlots = 1 << 20

const (
	// maxSinceReady is the longest Entry.SinceReady in a message; a longer one counts as unknown.
	maxSinceReady = time.Hour
	// DatagramDelay is the assumed time from the sending of a datagram to its processing. It is added to
	// the times in the datagram, so that they are not too short.
	DatagramDelay = 100 * time.Millisecond
)

func marshalEntry(e replicas.Entry) []byte {
	out := appendBytes(nil, entryID, []byte(e.ID))
	out = appendBytes(out, entryService, []byte(e.Service))
	out = appendBytes(out, entryAddress, []byte(e.Address))
	out = appendBytes(out, entryZone, []byte(e.Zone))
	out = appendNumber(out, entrySlots, uint64(e.Slots))
	out = appendNumber(out, entryStartedAt, uint64(e.StartedAt))
	out = appendFlag(out, entryLeaving, e.Leaving)
	out = appendFlag(out, entryGone, e.Removed)
	out = appendNumber(out, entryRevision, uint64(e.Revision))
	out = appendNumber(out, entryEpoch, uint64(e.Epoch))
	out = appendNumber(out, entrySeq, uint64(e.Seq))
	out = appendFlag(out, entryReportsCold, e.ReportsCold)
	if e.ReportsCold {
		out = appendNumber(out, entryCold, ceilMillis(e.ColdRemaining))
	}
	out = appendNumber(out, entrySinceReady, ceilMillis(e.SinceReady))
	return appendFlag(out, entryAnnounced, e.LeavingAnnounced)
}

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) uint64 { return uint64((d + time.Millisecond - 1) / time.Millisecond) }

// delayEntries adds the time that a message took to the known SinceReady of its entries.
func delayEntries(entries []replicas.Entry, delay time.Duration) {
	for i := range entries {
		if entries[i].SinceReady > 0 {
			entries[i].SinceReady += delay
		}
	}
}

func unmarshalEntry(data []byte) (replicas.Entry, error) {
	var e replicas.Entry
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case entryID:
			e.ID = string(raw)
		case entryService:
			e.Service = string(raw)
		case entryAddress:
			e.Address = string(raw)
		case entryZone:
			e.Zone = string(raw)
		case entrySlots:
			e.Slots = int(min(v, maxSlots))
		case entryStartedAt:
			e.StartedAt = int64(v)
		case entryLeaving:
			e.Leaving = v != 0
		case entryGone:
			e.Removed = v != 0
		case entryRevision:
			e.Revision = int64(v)
		case entryEpoch:
			e.Epoch = int64(v)
		case entrySeq:
			e.Seq = int64(v)
		case entryAnnounced:
			e.LeavingAnnounced = v != 0
		case entryReportsCold:
			e.ReportsCold = v != 0
		case entrySinceReady:
			if v <= uint64(maxSinceReady/time.Millisecond) {
				e.SinceReady = time.Duration(v) * time.Millisecond
			}
		case entryCold:
			e.ColdRemaining = time.Duration(min(v, uint64(replicas.MaxCold/time.Millisecond))) * time.Millisecond
		}
		return nil
	})
	if err == nil && e.ID == "" {
		err = errors.New("replica entry without ID")
	}
	return e, err
}
