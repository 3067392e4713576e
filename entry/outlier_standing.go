package entry

import (
	"sync"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

// standings says which engines get no work or a small share of it, and keeps
// the table of engines accordingly. An engine is ejected while its load report
// is stale here or the zone's judge has ejected it.
type standings struct {
	engines *peridotusher.Engines

	mu     sync.Mutex
	stale  map[peridotusher.EngineID]bool
	judged map[peridotusher.EngineID]bool
	probed map[peridotusher.EngineID]bool
	warm   map[peridotusher.EngineID]float64 // shares of joining engines
}

func newStandings(engines *peridotusher.Engines) *standings {
	return &standings{
		engines: engines,
		stale:   map[peridotusher.EngineID]bool{},
		judged:  map[peridotusher.EngineID]bool{},
		probed:  map[peridotusher.EngineID]bool{},
		warm:    map[peridotusher.EngineID]float64{},
	}
}

// setStale notes whether an engine's load report is stale.
func (s *standings) setStale(id peridotusher.EngineID, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale[id] = stale
	s.apply(id)
}

// isStale returns whether an engine's load report was stale.
func (s *standings) isStale(id peridotusher.EngineID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale[id]
}

// rule takes over a ruling of the zone's judge.
func (s *standings) rule(r peridotusher.Ruling) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judged[r.Engine] = r.Kind == peridotusher.RulingEject
	s.probed[r.Engine] = r.Kind == peridotusher.RulingProbe
	s.apply(r.Engine)
}

// adopt takes over the verdict of the judge of another router.
func (s *standings) adopt(zone peridotusher.Zone, verdict peer.EngineVerdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejected := map[peridotusher.EngineID]bool{}
	for _, id := range verdict.Ejected {
		ejected[id] = true
	}
	for _, e := range s.engines.All() {
		if e.Zone() != zone {
			continue
		}
		_, probed := verdict.Weights[e.ID()]
		if s.judged[e.ID()] == ejected[e.ID()] && s.probed[e.ID()] == probed {
			continue
		}
		s.judged[e.ID()] = ejected[e.ID()]
		s.probed[e.ID()] = probed
		s.apply(e.ID())
	}
}

// warmTo sets the share of a joining engine.
func (s *standings) warmTo(id peridotusher.EngineID, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warm[id] = weight
	if weight == 1 {
		delete(s.warm, id)
	}
	s.apply(id)
}

// verdict returns what the judge has decided on the zone's engines.
func (s *standings) verdict(zone peridotusher.Zone) peer.EngineVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := peer.EngineVerdict{Weights: map[peridotusher.EngineID]float64{}}
	for _, e := range s.engines.All() {
		if e.Zone() == zone && s.judged[e.ID()] {
			verdict.Ejected = append(verdict.Ejected, e.ID())
		}
		if e.Zone() == zone && s.probed[e.ID()] {
			verdict.Weights[e.ID()] = peridotusher.ProbeWeight
		}
	}
	return verdict
}

// apply brings the table of engines in line. A leaving engine stays leaving.
func (s *standings) apply(id peridotusher.EngineID) {
	e, ok := s.engines.Get(id)
	if !ok || e.State() == peridotusher.EngineLeaving {
		return
	}
	state := peridotusher.EngineLive
	if s.stale[id] || s.judged[id] {
		state = peridotusher.EngineEjected
	}
	weight := 1.0
	if w, ok := s.warm[id]; ok {
		weight = w
	}
	if s.probed[id] {
		weight = min(weight, peridotusher.ProbeWeight)
	}
	s.engines.SetState(id, state)
	s.engines.SetWeight(id, weight)
}
