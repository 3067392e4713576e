package peridotusher

import (
	"fmt"
	"slices"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// minOutlierRequests is the number of requests from which an engine is judged.
	minOutlierRequests = 10
	// maxErrorShareExcess is the excess of an engine's error share that ejects it.
	maxErrorShareExcess = 0.2
	// maxFirstTokenRatio is the multiple of the other engines' first-token time that ejects an engine.
	maxFirstTokenRatio = 3
	// ejectionTime is the length of a first ejection; each further one is twice as long.
	ejectionTime = 10 * time.Second
	// maxEjectionTime bounds the length of an ejection.
	maxEjectionTime = 5 * time.Minute
	// ProbeWeight is the share of new chats of an engine that is on probation.
	ProbeWeight = 0.25
	// probationTime is the time after which an engine on probation has its full share.
	probationTime = 30 * time.Second
)

// Judge ejects the engines of a zone whose requests of one class fail or start
// slower than those of the other engines with the same version. An ejected engine comes back
// on probation, with a small share of the chats as a probe. One goroutine uses
// a Judge.
type Judge struct {
	ejected   map[EngineID]ejection
	probation map[EngineID]ejection
}

// ejection is an engine's ejection, or its probation after one.
type ejection struct {
	since       time.Time
	consecutive int // ejections in a row
}

// Ruling is a change of an engine's standing.
type Ruling struct {
	Engine EngineID
	Kind   RulingKind
	Cause  string
}

// RulingKind says how an engine's standing changes.
type RulingKind string

// The kinds of ruling.
const (
	RulingEject RulingKind = "eject"
	RulingProbe RulingKind = "probe"
	RulingClear RulingKind = "clear"
)

// NewJudge returns a Judge that takes over the engines ejected by a former one.
func NewJudge(now time.Time, ejected []EngineID) *Judge {
	j := &Judge{ejected: map[EngineID]ejection{}, probation: map[EngineID]ejection{}}
	for _, id := range ejected {
		j.ejected[id] = ejection{since: now, consecutive: 1}
	}
	return j
}

// Since returns the time from which an engine's outcomes count: those from
// before its last ejection ended do not.
func (j *Judge) Since(id EngineID) time.Time { return j.probation[id].since }

// Review judges the zone's engines by their recent outcomes.
func (j *Judge) Review(now time.Time, policy document.Rollout, engines []Engine, outcomes []EngineOutcome) []Ruling {
	rulings := j.endExpired(now)
	for _, e := range engines {
		if _, ejected := j.ejected[e.id]; ejected || e.state != EngineLive {
			continue
		}
		cause := outlierCause(e.id, outcomes)
		if cause == "" || !j.mayEject(policy, e, engines) {
			continue
		}
		strikes := j.probation[e.id].consecutive + 1
		delete(j.probation, e.id)
		j.ejected[e.id] = ejection{since: now, consecutive: strikes}
		rulings = append(rulings, Ruling{e.id, RulingEject, cause})
	}
	return rulings
}

// endExpired ends ejections and probations whose time is over.
func (j *Judge) endExpired(now time.Time) []Ruling {
	var rulings []Ruling
	for id, e := range j.ejected {
		if now.Sub(e.since) >= e.duration() {
			delete(j.ejected, id)
			j.probation[id] = ejection{since: now, consecutive: e.consecutive}
			rulings = append(rulings, Ruling{Engine: id, Kind: RulingProbe})
		}
	}
	for id, e := range j.probation {
		if now.Sub(e.since) >= probationTime {
			delete(j.probation, id)
			rulings = append(rulings, Ruling{Engine: id, Kind: RulingClear})
		}
	}
	slices.SortFunc(rulings, func(a, b Ruling) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	return rulings
}

// duration returns the length of an ejection.
func (e ejection) duration() time.Duration {
	term := ejectionTime
	for range e.consecutive - 1 {
		term = min(2*term, maxEjectionTime)
	}
	return term
}

// mayEject returns whether one more engine of each model that the engine
// serves may be ejected: a share of them, but at least one and never the last.
func (j *Judge) mayEject(policy document.Rollout, e Engine, engines []Engine) bool {
	for _, v := range e.report.Versions {
		serving, out := 0, 0
		for _, other := range engines {
			if !other.Serves(v.Model, "") || other.state == EngineLeaving {
				continue
			}
			serving++
			if _, ejected := j.ejected[other.id]; ejected || other.state == EngineEjected {
				out++
			}
		}
		limit := max(int(policy.Eject()*float64(serving)), 1)
		if out >= limit || serving-out <= 1 {
			return false
		}
	}
	return true
}

// outlierCause returns why an engine stands out from the others of its model, or
// an empty text. Requests are compared within their version and class.
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
