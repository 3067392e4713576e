package peridotusher

import (
	"fmt"
	"slices"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// minOutlierRequests is the number of requests from which an engine is evaluated.
	minOutlierRequests = 10
	// maxErrorShareExcess is how far an engine's error share may exceed that of the other
	// engines; above it the engine is ejected.
	maxErrorShareExcess = 0.2
	// maxFirstTokenRatio is the largest ratio of an engine's mean time to first token to that
	// of the other engines; above it the engine is ejected.
	maxFirstTokenRatio = 3
	// ejectionTime is the length of a first ejection; each consecutive one is twice as long.
	ejectionTime = 10 * time.Second
	// maxEjectionTime bounds the length of an ejection.
	maxEjectionTime = 5 * time.Minute
	// ProbeWeight is the share of new chats of an engine that is on probation.
	ProbeWeight = 0.25
	// probationTime is the time after which an engine on probation has its full share.
	probationTime = 30 * time.Second
)

// OutlierDetector ejects outliers: the engines of a zone whose requests of one class fail more
// often or have their first token later than those of the other engines with the same
// version. After an ejection an engine is on probation, with a small share of the
// chats as a probe. It is for use by one goroutine.
type OutlierDetector struct {
	ejected   map[EngineID]ejection
	probation map[EngineID]ejection
}

// ejection is the current ejection of an engine, or the probation after it.
type ejection struct {
	since       time.Time
	consecutive int // ejections in a row
}

// OutlierChange is a change of one engine: its ejection, or the end of its ejection or
// probation.
type OutlierChange struct {
	Engine EngineID
	Kind   OutlierChangeKind
	Cause  string
}

// OutlierChangeKind is the kind of change.
type OutlierChangeKind string

// The kinds of change: an ejection, its end with the start of the probation, and the
// end of the probation.
const (
	OutlierEject OutlierChangeKind = "eject"
	OutlierProbe OutlierChangeKind = "probe"
	OutlierClear OutlierChangeKind = "clear"
)

// NewOutlierDetector returns a detector of outliers that starts with the given ejected engines,
// those of its predecessor.
func NewOutlierDetector(now time.Time, ejected []EngineID) *OutlierDetector {
	j := &OutlierDetector{ejected: map[EngineID]ejection{}, probation: map[EngineID]ejection{}}
	for _, id := range ejected {
		j.ejected[id] = ejection{since: now, consecutive: 1}
	}
	return j
}

// OutcomesSince returns the time from which an engine's outcomes count. Outcomes from before
// the start of its probation do not count.
func (j *OutlierDetector) OutcomesSince(id EngineID) time.Time { return j.probation[id].since }

// Evaluate checks the zone's engines by their recent outcomes and returns the changes.
func (j *OutlierDetector) Evaluate(now time.Time, policy document.Rollout, engines []Engine, outcomes []EngineOutcome) []OutlierChange {
	changes := j.endExpired(now)
	for _, e := range engines {
		if _, ejected := j.ejected[e.id]; ejected || e.state != EngineLive {
			continue
		}
		cause := outlierCause(e.id, outcomes)
		if cause == "" || !j.mayEject(policy, e, engines) {
			continue
		}
		consecutive := j.probation[e.id].consecutive + 1
		delete(j.probation, e.id)
		j.ejected[e.id] = ejection{since: now, consecutive: consecutive}
		changes = append(changes, OutlierChange{e.id, OutlierEject, cause})
	}
	return changes
}

// endExpired ends the ejections and probations whose time has passed.
func (j *OutlierDetector) endExpired(now time.Time) []OutlierChange {
	var changes []OutlierChange
	for id, e := range j.ejected {
		if now.Sub(e.since) >= e.duration() {
			delete(j.ejected, id)
			j.probation[id] = ejection{since: now, consecutive: e.consecutive}
			changes = append(changes, OutlierChange{Engine: id, Kind: OutlierProbe})
		}
	}
	for id, e := range j.probation {
		if now.Sub(e.since) >= probationTime {
			delete(j.probation, id)
			changes = append(changes, OutlierChange{Engine: id, Kind: OutlierClear})
		}
	}
	slices.SortFunc(changes, func(a, b OutlierChange) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	return changes
}

// duration returns the length of an ejection.
func (e ejection) duration() time.Duration {
	duration := ejectionTime
	for range e.consecutive - 1 {
		duration = min(2*duration, maxEjectionTime)
	}
	return duration
}

// mayEject reports whether the engine may be ejected. For each model that it serves
// the ejected engines are limited to a share of the model's engines, but at least
// one, and the last engine of a model is never ejected.
func (j *OutlierDetector) mayEject(policy document.Rollout, e Engine, engines []Engine) bool {
	for _, v := range e.report.Versions {
		serving, ejectedEngines := 0, 0
		for _, other := range engines {
			if !other.Serves(v.Model, "") || other.state == EngineLeaving {
				continue
			}
			serving++
			if _, ejected := j.ejected[other.id]; ejected || other.state == EngineEjected {
				ejectedEngines++
			}
		}
		limit := max(int(policy.MaxEjectedShare()*float64(serving)), 1)
		if ejectedEngines >= limit || serving-ejectedEngines <= 1 {
			return false
		}
	}
	return true
}

// outlierCause returns why an engine is an outlier among the engines of its model, or
// an empty string. Requests are compared within their version and class.
func outlierCause(id EngineID, outcomes []EngineOutcome) string {
	type group struct{ model, version, class string }
	own := map[group]EngineOutcome{}
	others := map[group]EngineOutcome{}
	var groups []group
	for _, o := range outcomes {
		g := group{o.Model, o.Version, o.Class}
		if o.Engine != id {
			others[g] = others[g].Plus(o)
			continue
		}
		if _, ok := own[g]; !ok {
			groups = append(groups, g)
		}
		own[g] = own[g].Plus(o)
	}
	for _, g := range groups {
		if cause := compareOutcomes(own[g], others[g]); cause != "" {
			return "class " + g.class + ": " + cause
		}
	}
	return ""
}

func compareOutcomes(own, others EngineOutcome) string {
	if own.Requests < minOutlierRequests || others.Requests < minOutlierRequests {
		return ""
	}
	a, b := own.health(), others.health()
	if a.ErrorShare() > b.ErrorShare()+maxErrorShareExcess {
		return fmt.Sprintf("errors %.0f%% against %.0f%%", 100*a.ErrorShare(), 100*b.ErrorShare())
	}
	enough := own.Answered >= minOutlierRequests && others.Answered >= minOutlierRequests
	if enough && a.FirstToken > maxFirstTokenRatio*b.FirstToken {
		return fmt.Sprintf("first token after %v against %v", a.FirstToken.Round(time.Millisecond), b.FirstToken.Round(time.Millisecond))
	}
	return ""
}
