package config

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// adopt puts a state in force if it is newer than the present one. build
// returns it; it is given the present state, which may be nil. The mutex is
// held meanwhile so that states follow one another.
func (s *Source) adopt(origin string, head *Head, build func(now *Snapshot) (*Snapshot, error)) (bool, error) {
	s.mu.Lock()
	now := s.current.Load()
	if head.GetRevision() <= now.Revision() {
		s.mu.Unlock()
		return false, errOlder
	}
	next, err := build(now)
	if err == nil {
		s.current.Store(next)
		s.status.Origin = origin
		if s.Adopted != nil {
			s.Adopted(next.doc)
		}
	}
	s.mu.Unlock()
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		s.raise(AlarmRefused, head.GetRevision(), invalid.Problems()[0].String())
	}
	if err != nil {
		return false, err
	}
	s.clearAlarm(AlarmRefused)
	s.Log.WithFields(logrus.Fields{"revision": next.Revision(), "from": origin}).Info("configuration in force")
	return true, nil
}

// advanced returns the state after the difference, or an error with its problems.
func advanced(now *Snapshot, head *Head, d difference) (*Snapshot, error) {
	next, problems, err := now.advance(head, d)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	return next, nil
}
