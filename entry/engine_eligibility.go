package entry

import (
	"maps"
	"sync"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

// eligibilityTable records why engines get no work or a reduced share of it, and
// updates their state and weight in the engine table accordingly. An engine is
// ejected while its load report is stale at this router, or while outlier detection
// in its zone has ejected it.
type eligibilityTable struct {
	engines *peridotusher.Engines

	mu            sync.Mutex
	stale         map[peridotusher.EngineID]bool
	outliers      map[peridotusher.EngineID]bool
	onProbation   map[peridotusher.EngineID]bool
	warmupWeights map[peridotusher.EngineID]float64 // weights of engines that are warming up
}

func newEligibilityTable(engines *peridotusher.Engines) *eligibilityTable {
	return &eligibilityTable{
		engines:       engines,
		stale:         map[peridotusher.EngineID]bool{},
		outliers:      map[peridotusher.EngineID]bool{},
		onProbation:   map[peridotusher.EngineID]bool{},
		warmupWeights: map[peridotusher.EngineID]float64{},
	}
}

// setListed replaces the set of known engines by the listed ones. It forgets what is recorded of
// the others, so that an engine that is listed again starts anew.
func (s *eligibilityTable) setListed(list []peridotusher.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines.SetListed(list)
	unlisted := func(id peridotusher.EngineID) bool {
		_, ok := s.engines.Get(id)
		return !ok
	}
	maps.DeleteFunc(s.stale, func(id peridotusher.EngineID, _ bool) bool { return unlisted(id) })
	maps.DeleteFunc(s.outliers, func(id peridotusher.EngineID, _ bool) bool { return unlisted(id) })
	maps.DeleteFunc(s.onProbation, func(id peridotusher.EngineID, _ bool) bool { return unlisted(id) })
	maps.DeleteFunc(s.warmupWeights, func(id peridotusher.EngineID, _ float64) bool { return unlisted(id) })
}

// setStale records whether an engine's load report is stale.
func (s *eligibilityTable) setStale(id peridotusher.EngineID, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale[id] = stale
	s.updateEngine(id)
}

// isStale returns what setStale recorded last.
func (s *eligibilityTable) isStale(id peridotusher.EngineID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale[id]
}

// applyRuling applies a ruling of this router's outlier detection.
func (s *eligibilityTable) applyRuling(r peridotusher.OutlierChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers[r.Engine] = r.Kind == peridotusher.OutlierEject
	s.onProbation[r.Engine] = r.Kind == peridotusher.OutlierProbe
	s.updateEngine(r.Engine)
}

// applyVerdict applies the verdict of the outlier detection of another router on
// the zone's engines.
func (s *eligibilityTable) applyVerdict(zone peridotusher.Zone, verdict peer.EngineVerdict) {
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
		if s.outliers[e.ID()] == ejected[e.ID()] && s.onProbation[e.ID()] == probed {
			continue
		}
		s.outliers[e.ID()] = ejected[e.ID()]
		s.onProbation[e.ID()] = probed
		s.updateEngine(e.ID())
	}
}

// setWarmupWeight sets the weight of an engine that is warming up. A weight of 1 ends
// the warmup.
func (s *eligibilityTable) setWarmupWeight(id peridotusher.EngineID, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmupWeights[id] = weight
	if weight == 1 {
		delete(s.warmupWeights, id)
	}
	s.updateEngine(id)
}

// verdict returns the current results of outlier detection for the zone's engines.
func (s *eligibilityTable) verdict(zone peridotusher.Zone) peer.EngineVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := peer.EngineVerdict{Weights: map[peridotusher.EngineID]float64{}}
	for _, e := range s.engines.All() {
		if e.Zone() == zone && s.outliers[e.ID()] {
			verdict.Ejected = append(verdict.Ejected, e.ID())
		}
		if e.Zone() == zone && s.onProbation[e.ID()] {
			verdict.Weights[e.ID()] = peridotusher.ProbeWeight
		}
	}
	return verdict
}

// updateEngine sets the engine's state and weight in the engine table. A leaving
// engine stays leaving.
func (s *eligibilityTable) updateEngine(id peridotusher.EngineID) {
	if isDeparting(s.engines, id) {
		return
	}
	state := peridotusher.EngineLive
	if s.stale[id] || s.outliers[id] {
		state = peridotusher.EngineEjected
	}
	weight := 1.0
	if w, ok := s.warmupWeights[id]; ok {
		weight = w
	}
	if s.onProbation[id] {
		weight = min(weight, peridotusher.ProbeWeight)
	}
	s.engines.SetState(id, state)
	s.engines.SetWeight(id, weight)
}
