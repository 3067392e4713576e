package standin

import "time"

// StoreSnapshot is a copy of a store's content.
type StoreSnapshot struct {
	state storeState
}

// Calls returns the number of requests that arrived, by kind.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetDown makes the store refuse every request and ends all watches.
func (s *Store) SetDown(down bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		s.endWatchesLocked()
	}
}

// SetDelay holds every request for d of real time before it runs.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers lets the next n transactions that write take effect and cuts
// their connections without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Compact forgets the changes before the revision.
func (s *Store) Compact(revision int64) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(revision)
}

// Snapshot returns a copy of the content, which stale reads are answered from.
func (s *Store) Snapshot() *StoreSnapshot {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotLocked()
}

func (s *Store) snapshotLocked() *StoreSnapshot {
	s.last = &StoreSnapshot{s.state.clone()}
	return s.last
}

// Restore sets the store back to an older content and ends all watches.
func (s *Store) Restore(snapshot *StoreSnapshot) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = snapshot.state.clone()
	s.endWatchesLocked()
}

// ServeStale answers reads from the last snapshot, or from the content at the
// time of the call if there is none.
func (s *Store) ServeStale(stale bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
	if stale && s.last == nil {
		s.snapshotLocked()
	}
}

// endWatchesLocked ends all watches.
func (s *Store) endWatchesLocked() {
	s.epoch++
	s.wakeLocked()
}
