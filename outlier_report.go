package peridotusher

import (
	"time"

	"peridotusher.example/peridotusher/document"
)

// implausibleWorkFactor is the multiple of a model's slots above which a reported load
// is implausible, since permits never exceed the slots for long.
const implausibleWorkFactor = 10

// Plausible reports whether a load report can be true. A report that cannot is not
// used, so the engine's last report becomes stale.
func (r EngineReport) Plausible(now time.Time, doc *document.Document) bool {
	if r.Work < 0 || r.Sampled.After(now) {
		return false
	}
	slots := 0
	for _, m := range doc.Models() {
		slots = max(slots, m.Slots())
	}
	return r.Work <= implausibleWorkFactor*slots
}

// StaleEngines returns the engines whose last load report is at least as old as the
// limit. An engine is left out if all engines of one of its models are stale, because
// then the fault is more likely with this router itself.
func StaleEngines(now time.Time, limit time.Duration, engines []Engine) []EngineID {
	fresh := map[string]bool{}
	for _, e := range engines {
		if now.Sub(e.report.Sampled) >= limit {
			continue
		}
		for _, v := range e.report.Versions {
			fresh[v.Model] = true
		}
	}
	var stale []EngineID
	for _, e := range engines {
		if e.reported && now.Sub(e.report.Sampled) >= limit && modelsHaveFreshReport(e, fresh) {
			stale = append(stale, e.id)
		}
	}
	return stale
}

// modelsHaveFreshReport reports whether each model of the engine has an engine with a
// fresh report.
func modelsHaveFreshReport(e Engine, fresh map[string]bool) bool {
	for _, v := range e.report.Versions {
		if !fresh[v.Model] {
			return false
		}
	}
	return true
}
