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
	boundSample = 20 * time.Millisecond
	// overshootLimit is how long an engine may be beyond the bound while two
	// routers hold themselves for its owner.
	overshootLimit = 1500 * time.Millisecond
	// inTransit is the number of permits that are held and not yet, or no
	// longer, running at an engine.
	inTransit = 2
)

// checkBound finds engines that stayed beyond the bound, by the engines' own
// record of their work.
func (e *Episode) checkBound() []string {
	doc, problems := document.Parse("", episodeDocument())
	if len(problems) > 0 {
		return []string{problems[0].String()}
	}
	bound := doc.Policy().Bound()
	readers := e.workReaders()
	since := map[string]time.Time{}
	var found []string
	for at := e.began; at.Before(e.calm.Add(calmTime)); at = at.Add(boundSample) {
		for _, side := range e.sides(readers) {
			found = append(found, overloaded(side, at, bound, since)...)
		}
	}
	return found
}

// sides groups the engines by the routers that can count them together: a
// zone that was cut off decides alone.
func (e *Episode) sides(all []*workReader) [][]*workReader {
	var cut string
	for _, f := range e.Faults {
		if f.Name == "zone-cut" {
			cut = e.lastCut
		}
	}
	if cut == "" {
		return [][]*workReader{all}
	}
	var in, out []*workReader
	for _, r := range all {
		if r.zone == cut {
			in = append(in, r)
		} else {
			out = append(out, r)
		}
	}
	return [][]*workReader{in, out}
}

// overloaded returns the engines that have been beyond the bound for too long.
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
	limit := int(math.Ceil(bound*float64(total+1)/float64(live))) + inTransit
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
		if at.Sub(first) > overshootLimit {
			found = append(found, fmt.Sprintf("%s has %d of %d work units, limit %d, since %s", r.name, r.work, total, limit, first.Format("15:04:05.000")))
			since[r.name] = at
		}
	}
	return found
}

// workReader steps through one engine's record of its work.
type workReader struct {
	name  string
	zone  string
	steps []standin.EngineStep
	work  int
	from  time.Time // when the engine's first sample was taken
	until time.Time // when the engine left, zero for never
}

func (e *Episode) workReaders() []*workReader {
	var readers []*workReader
	for _, engine := range e.bed.Engines {
		if e.gone[engine.Name] {
			continue
		}
		r := &workReader{name: engine.Name, zone: engine.Zone, steps: engine.Stats().Steps, until: e.leftAt(engine)}
		if len(r.steps) > 0 {
			r.from = r.steps[0].At
		}
		readers = append(readers, r)
	}
	return readers
}

func (e *Episode) leftAt(engine *testbed.Engine) time.Time {
	for _, l := range e.left {
		if l.engine == engine {
			return l.at
		}
	}
	return time.Time{}
}

// advance moves to the last step before the time.
func (r *workReader) advance(at time.Time) {
	for len(r.steps) > 0 && !r.steps[0].At.After(at) {
		r.work = r.steps[0].Work
		r.steps = r.steps[1:]
	}
}

func (r *workReader) live(at time.Time) bool {
	return !at.Before(r.from) && (r.until.IsZero() || at.Before(r.until))
}
