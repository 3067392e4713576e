package loadtest

import (
	"math"
	"slices"
	"sort"
	"time"

	"peridotusher.example/peridotusher/standin"
)

// change is a change of one engine's work or of its membership.
type change struct {
	at     time.Time
	engine string
	work   int  // after the change
	member bool // whether the change is of the membership
	live   bool
}

// balance is what the engines' work says about skew and the bound.
type balance struct {
	admissions int
	violations int
	worst      int     // most work units beyond the bound
	skewMax    float64 // of the busiest engine's work over the mean, while the mean is at least one unit
	skewP99    float64 // the same by time
	meanWork   float64
	points     []point
}

// point is the busiest engine's work and the mean at one time.
type point struct {
	at   time.Time
	peak int
	mean float64
}

// changesOf returns the changes of an engine's work.
func changesOf(e *standin.Engine) []change {
	var list []change
	for _, s := range e.Stats().Steps {
		list = append(list, change{at: s.At, engine: e.Name, work: s.Work})
	}
	return list
}

// replay goes through the changes in order of time and judges those from start
// to end.
func replay(changes []change, bound float64, start, end time.Time) balance {
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	state := replayState{bound: bound, work: map[string]int{}, live: map[string]bool{}}
	var b balance
	var skews []weighted
	var workTime, total time.Duration
	for i, c := range changes {
		if !c.at.Before(start) && c.at.Before(end) {
			state.judge(c, &b)
		}
		state.apply(c)
		next := end
		if i+1 < len(changes) {
			next = changes[i+1].at
		}
		if c.at.Before(start) || !c.at.Before(end) {
			continue
		}
		held := next.Sub(c.at)
		total += held
		workTime += time.Duration(state.mean() * float64(held))
		b.points = append(b.points, point{c.at, state.peak(), state.mean()})
		if state.mean() >= 1 {
			skews = append(skews, weighted{float64(state.peak()) / state.mean(), held})
		}
	}
	b.skewMax, b.skewP99 = summarize(skews)
	if total > 0 {
		b.meanWork = workTime.Seconds() / total.Seconds()
	}
	return b
}

// replayState is the work of the engines at one time.
type replayState struct {
	bound float64
	work  map[string]int
	live  map[string]bool
}

// judge counts an arrival of work against the bound.
func (s *replayState) judge(c change, b *balance) {
	added := c.work - s.work[c.engine]
	if c.member || added <= 0 {
		return
	}
	b.admissions++
	limit := int(math.Ceil(s.bound * float64(s.total()+added) / float64(max(s.count(), 1))))
	if before := s.work[c.engine]; before >= limit {
		b.violations++
		b.worst = max(b.worst, before+1-limit)
	}
}

func (s *replayState) apply(c change) {
	if c.member {
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

func (s *replayState) count() int {
	n := 0
	for _, live := range s.live {
		if live {
			n++
		}
	}
	return n
}

func (s *replayState) mean() float64 { return float64(s.total()) / float64(max(s.count(), 1)) }

func (s *replayState) peak() int {
	peak := 0
	for name, work := range s.work {
		if s.live[name] {
			peak = max(peak, work)
		}
	}
	return peak
}

// weighted is a value and the time for which it held.
type weighted struct {
	value float64
	held  time.Duration
}

// summarize returns the maximum and the value not passed for 99 % of the time.
func summarize(values []weighted) (highest, p99 float64) {
	const tail = 0.01
	sort.Slice(values, func(i, j int) bool { return values[i].value > values[j].value })
	var total, passed time.Duration
	for _, v := range values {
		total += v.held
	}
	for i, v := range values {
		if i == 0 {
			highest = v.value
		}
		passed += v.held
		if float64(passed) >= tail*float64(total) {
			return highest, v.value
		}
	}
	return highest, highest
}
