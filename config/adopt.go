package config

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// adopt puts the snapshot with the given head in force if its revision is
// higher than the current one. build makes the snapshot from the current one,
// which may be nil. The mutex is held while build runs, so that no other
// snapshot replaces the current one in between.
func (s *Source) adopt(origin string, head *Head, build func(current *Snapshot) (*Snapshot, error)) (bool, error) {
	s.mu.Lock()
	current := s.current.Load()
	if head.GetRevision() <= current.Revision() {
		s.mu.Unlock()
		return false, errNotNewer
	}
	next, err := build(current)
	if err == nil {
		s.current.Store(next)
		s.status.Origin = origin
		if s.OnAdopt != nil {
			s.OnAdopt(next.doc)
		}
	}
	s.mu.Unlock()
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		s.raiseAlarm(AlarmRefused, head.GetRevision(), invalid.Problems()[0].String())
	}
	if err != nil {
		return false, err
	}
	s.clearAlarm(AlarmRefused)
	s.Log.WithFields(logrus.Fields{"revision": next.Revision(), "from": origin}).Info("configuration in force")
	return true, nil
}

// applyDifference returns the snapshot after the difference, or an InvalidError
// if the document that results has problems.
func applyDifference(current *Snapshot, head *Head, d difference) (*Snapshot, error) {
	next, problems, err := current.next(head, d)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	return next, nil
}
