package config

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// Alarm names a condition that operators have to check.
type Alarm string

// The alarms.
const (
	// AlarmRewound means that the store returned a lower revision than the one in force.
	AlarmRewound Alarm = "rewound"
	// AlarmDiverged means that the store holds another state of the revision in force.
	AlarmDiverged Alarm = "diverged"
	// AlarmRefused means that this router found a document from the store or a peer invalid.
	AlarmRefused Alarm = "refused"
)

// Status describes the state of the configuration on one router.
type Status struct {
	Revision    uint64           // revision in force
	Stored      uint64           // revision that this router last read from the store
	Watching    bool             // whether this router watches the store
	Origin      string           // source of the revision in force: "store" or the id of a router
	Alarms      map[Alarm]uint64 // active alarms with the revision that raised them
	RaisedTotal map[Alarm]uint64 // number of alarms raised since the start
}

// Status returns a copy of the current status.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Revision = s.Revision()
	status.Alarms = maps.Clone(s.status.Alarms)
	status.RaisedTotal = maps.Clone(s.status.RaisedTotal)
	return status
}

// raiseAlarm records an alarm. It is logged and passed to OnAlarm only if it was
// not active or its revision changed.
func (s *Source) raiseAlarm(a Alarm, revision uint64, detail string) {
	s.mu.Lock()
	previous, active := s.status.Alarms[a]
	if s.status.Alarms == nil {
		s.status.Alarms, s.status.RaisedTotal = map[Alarm]uint64{}, map[Alarm]uint64{}
	}
	s.status.Alarms[a] = revision
	begins := !active || previous != revision
	if begins {
		s.status.RaisedTotal[a]++
	}
	s.mu.Unlock()
	if !begins {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"alarm": a, "in_force": s.Revision(), "revision": revision, "detail": detail,
	}).Error("configuration alarm; keeping the configuration in force")
	if s.OnAlarm != nil {
		s.OnAlarm(a)
	}
}

// clearAlarm removes an alarm from the active ones.
func (s *Source) clearAlarm(a Alarm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.status.Alarms, a)
}

// recordStoredHead records the revision of the store's head, and raises or
// clears the alarms that follow from comparing it with the snapshot in force.
func (s *Source) recordStoredHead(head *Head) {
	s.mu.Lock()
	s.status.Stored = head.GetRevision()
	s.mu.Unlock()
	current := s.current.Load()
	switch {
	case current == nil:
	case head.GetRevision() < current.Revision():
		s.raiseAlarm(AlarmRewound, head.GetRevision(), "the store returned a lower revision than the one in force")
	case head.GetRevision() == current.Revision() && head.GetHash() != current.head.GetHash():
		s.raiseAlarm(AlarmDiverged, head.GetRevision(), "the store holds a different state of the revision in force")
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

// isRefused reports whether the latest document that this router found invalid
// has the revision.
func (s *Source) isRefused(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused, ok := s.status.Alarms[AlarmRefused]
	return ok && refused == revision
}
