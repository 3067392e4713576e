package config

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// Alarm names a state that operators have to look at.
type Alarm string

// The alarms.
const (
	// AlarmRewound means that the store holds an older state than the one in force.
	AlarmRewound Alarm = "rewound"
	// AlarmDiverged means that the store holds another state under the revision in force.
	AlarmDiverged Alarm = "diverged"
	// AlarmRefused means that the store or a peer holds a document that is not valid here.
	AlarmRefused Alarm = "refused"
)

// Status says where a router stands with the configuration.
type Status struct {
	Revision uint64           // in force
	Stored   uint64           // last read of the store by this router
	Watching bool             // whether this router watches the store
	Origin   string           // where the revision in force came from: the store or a router
	Alarms   map[Alarm]uint64 // the alarms that stand, with the revision that raised them
	Raised   map[Alarm]uint64 // alarms raised since the start
}

// Status returns a copy of the present status.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Revision = s.Revision()
	status.Alarms = maps.Clone(s.status.Alarms)
	status.Raised = maps.Clone(s.status.Raised)
	return status
}

// raise records an alarm; it is reported when it begins or its revision changes.
func (s *Source) raise(a Alarm, revision uint64, detail string) {
	s.mu.Lock()
	last, stands := s.status.Alarms[a]
	if s.status.Alarms == nil {
		s.status.Alarms, s.status.Raised = map[Alarm]uint64{}, map[Alarm]uint64{}
	}
	s.status.Alarms[a] = revision
	begins := !stands || last != revision
	if begins {
		s.status.Raised[a]++
	}
	s.mu.Unlock()
	if !begins {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"alarm": a, "in_force": s.Revision(), "revision": revision, "detail": detail,
	}).Error("configuration alarm; the state in force is kept")
	if s.Alarm != nil {
		s.Alarm(a)
	}
}

// clearAlarm ends an alarm.
func (s *Source) clearAlarm(a Alarm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.status.Alarms, a)
}

// observe compares the store's head with the state in force.
func (s *Source) observe(head *Head) {
	s.mu.Lock()
	s.status.Stored = head.GetRevision()
	s.mu.Unlock()
	current := s.current.Load()
	switch {
	case current == nil:
	case head.GetRevision() < current.Revision():
		s.raise(AlarmRewound, head.GetRevision(), "the store answers with an older state")
	case head.GetRevision() == current.Revision() && head.GetHash() != current.head.GetHash():
		s.raise(AlarmDiverged, head.GetRevision(), "the store holds another state of the same revision")
	default:
		s.clearAlarm(AlarmRewound)
		s.clearAlarm(AlarmDiverged)
	}
}

// setWatching records whether this router watches the store.
func (s *Source) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Watching = watching
}

// refused reports whether the revision was found not valid here.
func (s *Source) refused(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused, ok := s.status.Alarms[AlarmRefused]
	return ok && refused == revision
}
