package faulttest

import (
	"fmt"
	"math"
	"time"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

const (
	boundSampleInterval = 20 * time.Millisecond
	// maxOvershootTime is how long an engine may exceed the bound while two routers both
	// consider themselves its owner.
	maxOvershootTime = 1500 * time.Millisecond
	// maxInTransit is the tolerated number of work units that hold a permit but are not
	// yet, or no longer, running at an engine.
	maxInTransit = 2
)

// checkBound finds engines whose load exceeded the bound for too long, according to the
// load that the engines recorded.
func (e *Episode) checkBound() []string {
	doc, problems := document.Parse("", episodeDocument())
	if len(problems) > 0 {
		return []string{problems[0].String()}
	}
	bound := doc.Policy().Bound()
	readers := e.workReaders()
	since := map[string]time.Time{}
	var found []string
	for at := e.faultsBegan; at.Before(e.recovered.Add(verifyTime)); at = at.Add(boundSampleInterval) {
		for _, partition := range e.partitions(readers) {
			found = append(found, overloaded(partition, at, bound, since)...)
		}
	}
	return found
}

// partitions groups the engines by the routers that balance them together. The routers of
// an isolated zone decide on their own.
func (e *Episode) partitions(all []*workReader) [][]*workReader {
	var isolated string
	for _, f := range e.Faults {
		if f.Name == "zone-cut" {
			isolated = e.isolatedZone
		}
	}
	if isolated == "" {
		return [][]*workReader{all}
	}
	var inside, outside []*workReader
	for _, r := range all {
		if r.zone == isolated {
			inside = append(inside, r)
		} else {
			outside = append(outside, r)
		}
	}
	return [][]*workReader{inside, outside}
}

// overloaded returns the engines whose load has exceeded the bound for longer than
// maxOvershootTime. since holds the time from which each engine has exceeded it.
func overloaded(engines []*workReader, at time.Time, bound float64, since map[string]time.Time) []string {
	total, live := 0, 0
	for _, r := range engines {
		r.advance(at)
		total += r.work
		if r.live(at) {
			live++
		}
	}
	if live == 0 {
		return nil
	}
	limit := int(math.Ceil(bound*float64(total+1)/float64(live))) + maxInTransit
	var found []string
	for _, r := range engines {
		if r.work <= limit || !r.live(at) {
			delete(since, r.name)
			continue
		}
		first, ok := since[r.name]
		if !ok {
			since[r.name] = at
			continue
		}
		if at.Sub(first) > maxOvershootTime {
			found = append(found, fmt.Sprintf("%s has %d of %d work units, limit %d, since %s", r.name, r.work, total, limit, first.Format("15:04:05.000")))
			since[r.name] = at
		}
	}
	return found
}

// workReader replays the load that one engine recorded.
type workReader struct {
	name  string
	zone  string
	steps []standin.EngineStep
	work  int
	from  time.Time // when the engine's first sample was taken
	until time.Time // when the engine was listed as leaving, zero for never
}

func (e *Episode) workReaders() []*workReader {
	var readers []*workReader
	for _, engine := range e.bed.Engines {
		if e.crashed[engine.Name] {
			continue
		}
		r := &workReader{name: engine.Name, zone: engine.Zone, steps: engine.Stats().Steps, until: e.leavingSince(engine)}
		if len(r.steps) > 0 {
			r.from = r.steps[0].At
		}
		readers = append(readers, r)
	}
	return readers
}

func (e *Episode) leavingSince(engine *testbed.Engine) time.Time {
	for _, l := range e.leaving {
		if l.engine == engine {
			return l.at
		}
	}
	return time.Time{}
}

// advance moves to the last step that is not after the time.
func (r *workReader) advance(at time.Time) {
	for len(r.steps) > 0 && !r.steps[0].At.After(at) {
		r.work = r.steps[0].Work
		r.steps = r.steps[1:]
	}
}

func (r *workReader) live(at time.Time) bool {
	return !at.Before(r.from) && (r.until.IsZero() || at.Before(r.until))
}
