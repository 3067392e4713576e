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

// SetDelay delays every request by d of real time before it runs.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers applies the next n successful transactions and closes their
// connections without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Compact discards the changes before the revision.
func (s *Store) Compact(revision int64) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(revision)
}

// Snapshot returns a copy of the content. ServeStale answers reads from the last one.
func (s *Store) Snapshot() *StoreSnapshot {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotLocked()
}

func (s *Store) snapshotLocked() *StoreSnapshot {
	s.lastSnapshot = &StoreSnapshot{s.state.clone()}
	return s.lastSnapshot
}

// Restore replaces the store's content with a snapshot and ends all watches.
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
	if stale && s.lastSnapshot == nil {
		s.snapshotLocked()
	}
}

// endWatchesLocked ends all watches.
func (s *Store) endWatchesLocked() {
	s.epoch++
	s.wakeLocked()
}
