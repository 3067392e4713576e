package loadtest

import (
	"math"
	"slices"
	"sort"
	"time"

	"peridotusher.example/peridotusher/standin"
)

// change is a change of one engine's work or membership.
type change struct {
	at         time.Time
	engine     string
	work       int  // after the change
	membership bool // the change concerns the membership: live is set, work is not
	live       bool
}

// balance is the load skew and the violations of the bound in the engines' work.
type balance struct {
	admissions int
	violations int
	maxExcess  int     // largest violation of the bound, in work units
	skewMax    float64 // maximum of the busiest engine's work over the mean, where the mean is at least 1
	skewP99    float64 // 99th percentile of that ratio by time
	meanWork   float64
	points     []point
}

// point is the busiest engine's work and the mean work at one time.
type point struct {
	at   time.Time
	peak int
	mean float64
}

// workChanges returns the changes of an engine's work.
func workChanges(e *standin.Engine) []change {
	var list []change
	for _, s := range e.Stats().Steps {
		list = append(list, change{at: s.At, engine: e.Name, work: s.Work})
	}
	return list
}

// replay applies the changes in order of time and evaluates those from start to end.
func replay(changes []change, bound float64, start, end time.Time) balance {
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	state := replayState{bound: bound, work: map[string]int{}, live: map[string]bool{}}
	var b balance
	var skews []weighted
	var workTime, total time.Duration
	for i, c := range changes {
		if !c.at.Before(start) && c.at.Before(end) {
			state.countAdmission(c, &b)
		}
		state.apply(c)
		next := end
		if i+1 < len(changes) {
			next = changes[i+1].at
		}
		if c.at.Before(start) || !c.at.Before(end) {
			continue
		}
		duration := next.Sub(c.at)
		total += duration
		workTime += time.Duration(state.mean() * float64(duration))
		b.points = append(b.points, point{c.at, state.peak(), state.mean()})
		if state.mean() >= 1 {
			skews = append(skews, weighted{float64(state.peak()) / state.mean(), duration})
		}
	}
	b.skewMax, b.skewP99 = summarize(skews)
	if total > 0 {
		b.meanWork = workTime.Seconds() / total.Seconds()
	}
	return b
}

// replayState holds the work and membership of the engines at one time.
type replayState struct {
	bound float64
	work  map[string]int
	live  map[string]bool
}

// countAdmission counts an increase of an engine's work as an admission, and as a
// violation if the work before it was at or above the bound.
func (s *replayState) countAdmission(c change, b *balance) {
	added := c.work - s.work[c.engine]
	if c.membership || added <= 0 {
		return
	}
	b.admissions++
	limit := int(math.Ceil(s.bound * float64(s.total()+added) / float64(max(s.liveEngines(), 1))))
	if before := s.work[c.engine]; before >= limit {
		b.violations++
		b.maxExcess = max(b.maxExcess, before+1-limit)
	}
}

func (s *replayState) apply(c change) {
	if c.membership {
		s.live[c.engine] = c.live
		return
	}
	s.work[c.engine] = c.work
}

// total returns the work of the live engines.
func (s *replayState) total() int {
	sum := 0
	for name, work := range s.work {
		if s.live[name] {
			sum += work
		}
	}
	return sum
}

func (s *replayState) liveEngines() int {
	n := 0
	for _, live := range s.live {
		if live {
			n++
		}
	}
	return n
}

func (s *replayState) mean() float64 { return float64(s.total()) / float64(max(s.liveEngines(), 1)) }

func (s *replayState) peak() int {
	peak := 0
	for name, work := range s.work {
		if s.live[name] {
			peak = max(peak, work)
		}
	}
	return peak
}

// weighted is a value and how long it lasted.
type weighted struct {
	value    float64
	duration time.Duration
}

// summarize returns the maximum and the value that is not exceeded for 99 % of the time.
func summarize(values []weighted) (highest, p99 float64) {
	const tail = 0.01
	sort.Slice(values, func(i, j int) bool { return values[i].value > values[j].value })
	var total, covered time.Duration
	for _, v := range values {
		total += v.duration
	}
	for i, v := range values {
		if i == 0 {
			highest = v.value
		}
		covered += v.duration
		if float64(covered) >= tail*float64(total) {
			return highest, v.value
		}
	}
	return highest, highest
}
