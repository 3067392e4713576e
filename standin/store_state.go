package standin

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// storeState is the content of the store.
type storeState struct {
	revision  int64
	compacted int64 // changes before this revision are discarded
	keys      map[string]storeKeyValue
	leases    map[int64]storeLease
	nextLease int64
	history   []storeEvent
}

// storeLease is a lease's time to live and the time at which it expires.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStoreState(firstLease int64) storeState {
	return storeState{
		revision:  1,
		keys:      map[string]storeKeyValue{},
		leases:    map[int64]storeLease{},
		nextLease: firstLease,
	}
}

// clone returns an independent copy. Values are never changed in place.
func (s *storeState) clone() storeState {
	c := *s
	c.keys = maps.Clone(s.keys)
	c.leases = maps.Clone(s.leases)
	c.history = slices.Clone(s.history)
	return c
}

// find returns the keys in [key, end) in order, or just the key if there is no end.
func (s *storeState) find(key, end []byte) []storeKeyValue {
	var found []storeKeyValue
	for _, kv := range s.keys {
		if storeInRange(kv.Key, key, end) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b storeKeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return found
}

// storeInRange reports whether k is in [key, end); an end of one zero byte is
// the end of all keys.
func storeInRange(k, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(k, key)
	}
	if bytes.Compare(k, key) < 0 {
		return false
	}
	return bytes.Equal(end, []byte{0}) || bytes.Compare(k, end) < 0
}

// put writes a key at the revision.
func (s *storeState) put(p *storePut, revision int64) {
	kv := storeKeyValue{Key: p.Key, Value: p.Value, ModRevision: revision, Lease: p.Lease}
	s.keys[string(p.Key)] = kv
	s.history = append(s.history, storeEvent{Type: "PUT", KV: kv})
}

// remove deletes the keys in the range at the revision and returns their number.
func (s *storeState) remove(key, end []byte, revision int64) int {
	found := s.find(key, end)
	for _, kv := range found {
		delete(s.keys, string(kv.Key))
		tombstone := storeKeyValue{Key: kv.Key, ModRevision: revision}
		s.history = append(s.history, storeEvent{Type: "DELETE", KV: tombstone})
	}
	return len(found)
}

// endLease deletes the lease and its keys; it reports whether keys changed.
func (s *storeState) endLease(id int64) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	next := s.revision + 1
	removed := 0
	for _, kv := range s.find([]byte{0}, []byte{0}) {
		if kv.Lease == id {
			removed += s.remove(kv.Key, nil, next)
		}
	}
	if removed > 0 {
		s.revision = next
	}
	return removed > 0
}

// expire ends expired leases; it reports whether keys changed.
func (s *storeState) expire(now time.Time) bool {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].end) {
			changed = s.endLease(id) || changed
		}
	}
	return changed
}

// since returns the changes in the range from a revision on.
func (s *storeState) since(from int64, key, end []byte) []storeEvent {
	var events []storeEvent
	for _, e := range s.history {
		if e.KV.ModRevision >= from && storeInRange(e.KV.Key, key, end) {
			events = append(events, e)
		}
	}
	return events
}

// compact discards the changes before the revision.
func (s *storeState) compact(revision int64) {
	s.compacted = max(s.compacted, revision)
	s.history = slices.DeleteFunc(s.history, func(e storeEvent) bool {
		return e.KV.ModRevision < s.compacted
	})
}
