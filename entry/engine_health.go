package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// healthWindow is the age up to which reported outcomes count.
const healthWindow = 30 * time.Second

// requestObserver measures one request to an engine.
type requestObserver struct {
	table      *healthTable
	key        peridotusher.OutcomeKey
	sentAt     time.Time
	once       sync.Once
	firstToken time.Duration // from sentAt to the first token; zero before that
}

// observeRequest starts measuring a request that is sent to an engine.
func (h *Host) observeRequest(req peridotusher.Request, engine peridotusher.EngineID) *requestObserver {
	return &requestObserver{
		table:  h.health,
		key:    peridotusher.OutcomeKey{Engine: engine, Model: req.Model, Version: req.Version, Class: req.Class},
		sentAt: h.Clock.Now(),
	}
}

// recordFirstToken records the time of the first token. Later calls do nothing.
func (r *requestObserver) recordFirstToken() {
	if r.firstToken == 0 {
		r.firstToken = r.table.clock.Now().Sub(r.sentAt)
	}
}

// end records the request's outcome at the engine. Later calls do nothing.
func (r *requestObserver) end(err error) {
	r.once.Do(func() {
		o := peridotusher.EngineOutcome{OutcomeKey: r.key, Requests: 1}
		if r.firstToken > 0 {
			o.Answered = 1
			o.FirstToken = r.firstToken
		}
		if isEngineFault(err) {
			o.Errors = 1
		}
		r.table.add(o)
	})
}

// isEngineFault returns whether an error counts as an error of the engine.
func isEngineFault(err error) bool {
	var f *peridotusher.Failure
	if !errors.As(err, &f) {
		return false
	}
	return f.Cause() == peridotusher.CauseEndpointLost || f.Cause() == peridotusher.CauseEndpointError
}

// healthTable holds the outcomes that this router observed but has not reported
// yet, and the reports that it received.
type healthTable struct {
	clock peridotusher.Clock

	mu      sync.Mutex
	pending map[peridotusher.OutcomeKey]peridotusher.EngineOutcome
	reports []outcomeReport
}

// outcomeReport is one report by a router.
type outcomeReport struct {
	receivedAt time.Time
	outcomes   []peridotusher.EngineOutcome
}

func newHealthTable(clock peridotusher.Clock) *healthTable {
	return &healthTable{clock: clock, pending: map[peridotusher.OutcomeKey]peridotusher.EngineOutcome{}}
}

func (t *healthTable) add(o peridotusher.EngineOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[o.OutcomeKey] = t.pending[o.OutcomeKey].Plus(o)
}

// takePending removes and returns the outcomes that were not reported yet.
func (t *healthTable) takePending() []peridotusher.EngineOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	var outcomes []peridotusher.EngineOutcome
	for _, o := range t.pending {
		outcomes = append(outcomes, o)
	}
	clear(t.pending)
	return outcomes
}

// addReport adds a report, unless it is empty, and drops those older than the
// window.
func (t *healthTable) addReport(outcomes []peridotusher.EngineOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.reports = slices.DeleteFunc(t.reports, func(r outcomeReport) bool { return now.Sub(r.receivedAt) > healthWindow })
	if len(outcomes) > 0 {
		t.reports = append(t.reports, outcomeReport{now, outcomes})
	}
}

// recent returns the sums by key of the outcomes that were reported within the
// window. It omits an engine's outcomes that were reported before since returns for
// the engine.
func (t *healthTable) recent(since func(peridotusher.EngineID) time.Time) []peridotusher.EngineOutcome {
	t.addReport(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[peridotusher.OutcomeKey]peridotusher.EngineOutcome{}
	for _, r := range t.reports {
		for _, o := range r.outcomes {
			if r.receivedAt.Before(since(o.Engine)) {
				continue
			}
			sums[o.OutcomeKey] = sums[o.OutcomeKey].Plus(o)
		}
	}
	var outcomes []peridotusher.EngineOutcome
	for _, o := range sums {
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// versionHealth returns the recent health of each version in the zone.
func (h *Host) versionHealth() map[peridotusher.ModelVersion]peridotusher.Health {
	return peridotusher.VersionHealth(h.health.recent(func(peridotusher.EngineID) time.Time { return time.Time{} }))
}
