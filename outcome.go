package peridotusher

import "time"

// OutcomeKey identifies the requests that an EngineOutcome counts.
type OutcomeKey struct {
	Engine  EngineID
	Model   string
	Version string
	Class   string
}

// EngineOutcome counts the requests of one class to one version at an engine.
type EngineOutcome struct {
	OutcomeKey
	Requests   int
	Errors     int
	Answered   int           // requests with a first token
	FirstToken time.Duration // summed over the answered requests
}

// Plus returns the sum of two outcomes of the same key.
func (o EngineOutcome) Plus(p EngineOutcome) EngineOutcome {
	o.OutcomeKey = p.OutcomeKey
	o.Requests += p.Requests
	o.Errors += p.Errors
	o.Answered += p.Answered
	o.FirstToken += p.FirstToken
	return o
}

// health returns the outcome's counts with the mean time to the first token.
func (o EngineOutcome) health() Health {
	h := Health{Requests: o.Requests, Errors: o.Errors}
	if o.Answered > 0 {
		h.FirstToken = o.FirstToken / time.Duration(o.Answered)
	}
	return h
}

// VersionHealth returns the health of each version over all engines and classes.
func VersionHealth(outcomes []EngineOutcome) map[ModelVersion]Health {
	sums := map[ModelVersion]EngineOutcome{}
	for _, o := range outcomes {
		mv := ModelVersion{o.Model, o.Version}
		sums[mv] = sums[mv].Plus(o)
	}
	health := map[ModelVersion]Health{}
	for mv, sum := range sums {
		health[mv] = sum.health()
	}
	return health
}
