package replicas

import "peridotusher.example/peridotusher"

// at returns the position in the store's history that the entry describes.
func (e *Entry) at() peridotusher.Position {
	return peridotusher.Position{Epoch: e.Epoch, Revision: e.Revision}
}

// sameStart reports whether the replica has not restarted between two entries.
func (e *Entry) sameStart(o *Entry) bool {
	return e.StartedAt == o.StartedAt && e.Address == o.Address && e.Service == o.Service
}

// outranks reports whether an entry takes precedence over one of another epoch, based on
// what the replica itself reported: a later start, or a higher Seq in the same start. If Seq
// is equal too, a removed or leaving entry takes precedence.
func (e *Entry) outranks(o *Entry) bool {
	switch {
	case !e.sameStart(o):
		return e.StartedAt > o.StartedAt
	case e.Seq != o.Seq:
		return e.Seq > o.Seq
	case e.Removed != o.Removed:
		return e.Removed
	}
	return e.Leaving && !o.Leaving
}

// merge merges e into the known entry of a replica and returns the result, and whether e
// was applied.
//
// Within one epoch of the store the later revision wins. An entry of a later epoch may come
// from the backup from which the store was restored. It wins if it is a removal, if it was
// written after the restore, which writtenInEpoch determines by its revision, or if it outranks
// the known entry. Otherwise only its position is applied, so a replica that is known to be
// leaving or removed remains so. An entry of an earlier epoch wins, without its position, if the
// known entry may come from the backup, is no removal and is outranked.
//
// If the replica itself announced that it is leaving, it stays leaving until it restarts.
func merge(known, e Entry, writtenInEpoch func(*Entry) bool) (out Entry, applied bool) {
	out = known
	switch {
	case e.Epoch == known.Epoch:
		if e.Revision > known.Revision {
			out, applied = e, true
		}
	case e.Epoch > known.Epoch:
		if e.Removed || writtenInEpoch(&e) || e.outranks(&known) {
			out, applied = e, true
		} else {
			out.Epoch, out.Revision = e.Epoch, e.Revision
		}
	case !known.Removed && !writtenInEpoch(&known) && e.outranks(&known):
		out, applied = e, true
		out.Epoch, out.Revision = known.Epoch, known.Revision
	}
	if known.LeavingAnnounced && known.sameStart(&out) || e.LeavingAnnounced && e.sameStart(&out) {
		out.LeavingAnnounced, out.Leaving = true, true
	}
	return out, applied
}
