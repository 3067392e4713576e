package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// healthWindow is the age up to which outcomes count.
const healthWindow = 30 * time.Second

// engineWatch measures one request to an engine.
type engineWatch struct {
	book  *healthTable
	key   peridotusher.OutcomeKey
	began time.Time
	once  sync.Once
	first time.Duration // zero before the first token
}

// watchEngine begins to measure a request that is sent to an engine.
func (h *Host) watchEngine(req peridotusher.Request, engine peridotusher.EngineID) *engineWatch {
	return &engineWatch{
		book:  h.health,
		key:   peridotusher.OutcomeKey{Engine: engine, Model: req.Model, Version: req.Version, Class: req.Class},
		began: h.Clock.Now(),
	}
}

// token notes the first token.
func (w *engineWatch) token() {
	if w.first == 0 {
		w.first = w.book.clock.Now().Sub(w.began)
	}
}

// end notes how the request ended at the engine. Later calls do nothing.
func (w *engineWatch) end(err error) {
	w.once.Do(func() {
		o := peridotusher.EngineOutcome{OutcomeKey: w.key, Requests: 1}
		if w.first > 0 {
			o.Answered = 1
			o.FirstToken = w.first
		}
		if engineFault(err) {
			o.Errors = 1
		}
		w.book.add(o)
	})
}

// engineFault returns whether a failure speaks against the engine.
func engineFault(err error) bool {
	var f *peridotusher.Failure
	if !errors.As(err, &f) {
		return false
	}
	return f.Cause() == peridotusher.CauseEndpointLost || f.Cause() == peridotusher.CauseEndpointError
}

// healthTable keeps what this router saw of the engines until it is reported,
// and what was reported to this router.
type healthTable struct {
	clock peridotusher.Clock

	mu       sync.Mutex
	pending  map[peridotusher.OutcomeKey]peridotusher.EngineOutcome
	received []receivedOutcomes
}

// receivedOutcomes is one router's report.
type receivedOutcomes struct {
	at       time.Time
	outcomes []peridotusher.EngineOutcome
}

func newHealthTable(clock peridotusher.Clock) *healthTable {
	return &healthTable{clock: clock, pending: map[peridotusher.OutcomeKey]peridotusher.EngineOutcome{}}
}

func (b *healthTable) add(o peridotusher.EngineOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[o.OutcomeKey] = b.pending[o.OutcomeKey].Plus(o)
}

// take returns and forgets what was not reported yet.
func (b *healthTable) take() []peridotusher.EngineOutcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	var outcomes []peridotusher.EngineOutcome
	for _, o := range b.pending {
		outcomes = append(outcomes, o)
	}
	clear(b.pending)
	return outcomes
}

// receive keeps a report for the window.
func (b *healthTable) receive(outcomes []peridotusher.EngineOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.received = slices.DeleteFunc(b.received, func(r receivedOutcomes) bool { return now.Sub(r.at) > healthWindow })
	if len(outcomes) > 0 {
		b.received = append(b.received, receivedOutcomes{now, outcomes})
	}
}

// recent returns the outcomes of the window, summed by key. Those of an engine
// from before its time of since are left out.
func (b *healthTable) recent(since func(peridotusher.EngineID) time.Time) []peridotusher.EngineOutcome {
	b.receive(nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := map[peridotusher.OutcomeKey]peridotusher.EngineOutcome{}
	for _, r := range b.received {
		for _, o := range r.outcomes {
			if r.at.Before(since(o.Engine)) {
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
