package peridotusher

import (
	"fmt"
	"maps"
	"time"

	"peridotusher.example/peridotusher/document"
)

// Progress records when the versions of the models last changed, for the waiting
// times of a rollout. It is for use by one goroutine.
type Progress struct {
	ready        map[ModelVersion]int
	lastReady    map[ModelVersion]time.Time
	noShareSince map[ModelVersion]time.Time
	paused       map[ModelVersion]string
	versions     map[string]string // the listed versions and shares of each model, as text
}

// NewProgress returns an empty Progress.
func NewProgress() *Progress {
	return &Progress{
		ready:        map[ModelVersion]int{},
		lastReady:    map[ModelVersion]time.Time{},
		noShareSince: map[ModelVersion]time.Time{},
		paused:       map[ModelVersion]string{},
		versions:     map[string]string{},
	}
}

// Observe records the current state of the engines of all zones, in the form for
// planning and in the form for the placement of requests.
func (p *Progress) Observe(now time.Time, doc *document.Document, zone Zone, planned []PlannedEngine, engines []Engine) {
	for _, model := range doc.Models() {
		p.observeEdits(model)
		p.observeGrowth(now, model, zone, planned)
		p.observeShares(now, model, engines)
	}
}

// observeEdits removes the pauses of a model whose versions were edited.
func (p *Progress) observeEdits(model *document.Model) {
	wanted := versionsText(model)
	if p.versions[model.Name()] == wanted {
		return
	}
	p.versions[model.Name()] = wanted
	maps.DeleteFunc(p.paused, func(mv ModelVersion, _ string) bool { return mv.Model == model.Name() })
}

func (p *Progress) observeGrowth(now time.Time, model *document.Model, zone Zone, planned []PlannedEngine) {
	counts := map[string]int{}
	for _, e := range planned {
		for _, v := range e.Versions {
			if e.Zone == zone && v.Model == model.Name() && v.Ready {
				counts[v.Version]++
			}
		}
	}
	for version, n := range counts {
		mv := ModelVersion{model.Name(), version}
		if n > p.ready[mv] {
			p.lastReady[mv] = now
		}
		p.ready[mv] = n
	}
	for mv := range p.ready {
		if mv.Model == model.Name() && counts[mv.Version] == 0 {
			delete(p.ready, mv)
		}
	}
}

func (p *Progress) observeShares(now time.Time, model *document.Model, engines []Engine) {
	shares := map[string]int{}
	for _, s := range ActiveShares(model, engines) {
		shares[s.Version] += s.Share
	}
	for _, e := range engines {
		for _, v := range e.report.Versions {
			mv := ModelVersion{v.Model, v.Version}
			if v.Model != model.Name() {
				continue
			}
			if shares[v.Version] > 0 {
				delete(p.noShareSince, mv)
			} else if _, ok := p.noShareSince[mv]; !ok {
				p.noShareSince[mv] = now
			}
		}
	}
}

// Pause keeps a version's rollout paused until the model's versions are edited.
func (p *Progress) Pause(pauses []Pause) {
	for _, pause := range pauses {
		p.paused[pause.ModelVersion] = pause.Cause
	}
}

// Fill copies the recorded times and pauses into the state for a plan.
func (p *Progress) Fill(o *Observed) {
	o.LastReady = maps.Clone(p.lastReady)
	o.NoShareSince = maps.Clone(p.noShareSince)
	o.Paused = maps.Clone(p.paused)
}

// versionsText returns a model's versions and shares as text.
func versionsText(model *document.Model) string {
	text := ""
	for _, v := range model.Versions() {
		text += fmt.Sprintf("%s:%d,", v.Name(), v.Share())
	}
	return text
}
