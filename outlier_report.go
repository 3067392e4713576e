package peridotusher

import (
	"time"

	"peridotusher.example/peridotusher/document"
)

// implausibleWorkFactor is the multiple of a model's slots from which a reported
// load cannot be true, since permits never exceed the slots for long.
const implausibleWorkFactor = 10

// Possible returns whether a load report can be true. A report that cannot is
// not used, so that its engine's last one becomes stale.
func (r EngineReport) Possible(now time.Time, doc *document.Document) bool {
	if r.Work < 0 || r.Sampled.After(now) {
		return false
	}
	slots := 0
	for _, m := range doc.Models() {
		slots = max(slots, m.Slots())
	}
	return r.Work <= implausibleWorkFactor*slots
}

// StaleEngines returns the live engines whose last load report is older than
// the limit. While every engine of a model is stale none of them is returned,
// because then the fault is more likely this router's own.
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

// modelsHaveFreshReport returns whether each model of the engine has a fresh one.
func modelsHaveFreshReport(e Engine, fresh map[string]bool) bool {
	for _, v := range e.report.Versions {
		if !fresh[v.Model] {
			return false
		}
	}
	return true
}
