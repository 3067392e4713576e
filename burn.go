package peridotusher

import (
	"sync"
	"time"
)

const (
	// MaxBurnSeries is the largest number of series of one router. Each takes about 5 KB.
	MaxBurnSeries = 2048
	// OtherOrganisations stands for the organisations without a series of their own.
	OtherOrganisations = "other"
)

// Outcome is one finished request as counted for the service-level objective.
type Outcome struct {
	Organisation string
	Class        string
	Value        float64 // value of a request answered completely and in time
	Objective    float64 // target share of requests answered completely and in time
	Good         bool    // answered completely and in time
}

// BurnCount counts requests and sums their value.
type BurnCount struct {
	Requests float64
	Bad      float64 // incomplete or late
	Value    float64 // total value of the requests
	BadValue float64 // value of the bad ones
}

// Add returns the sum of both counts.
func (c BurnCount) Add(d BurnCount) BurnCount {
	return BurnCount{
		Requests: c.Requests + d.Requests,
		Bad:      c.Bad + d.Bad,
		Value:    c.Value + d.Value,
		BadValue: c.BadValue + d.BadValue,
	}
}

// BurnKey identifies a series: an organisation's requests of one class. An empty
// organisation stands for all organisations.
type BurnKey struct {
	Organisation string
	Class        string
}

// Burn measures how fast the error budgets are spent. Its memory is bounded:
// organisations beyond the limit share one series for each class.
type Burn struct {
	clock   Clock
	limit   int
	started time.Time

	mu           sync.Mutex
	series       map[BurnKey]*burnSeries
	nextEviction time.Time // earliest time of the next search for expired series
}

// burnSeries holds the counts of one key.
type burnSeries struct {
	objective    float64
	lastRecorded time.Time
	short        burnRing // for windows up to an hour
	long         burnRing // for longer windows
}

// NewBurn returns an empty table of at most limit series.
func NewBurn(clock Clock, limit int) *Burn {
	return &Burn{clock: clock, limit: limit, started: clock.Now(), series: map[BurnKey]*burnSeries{}}
}

// Record counts one request for its class and, if it has one, for its organisation.
func (b *Burn) Record(o Outcome) {
	now := b.clock.Now()
	count := BurnCount{Requests: 1, Value: o.Value}
	if !o.Good {
		count.Bad = 1
		count.BadValue = o.Value
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := []BurnKey{{Class: o.Class}}
	if o.Organisation != "" {
		keys = append(keys, BurnKey{Organisation: o.Organisation, Class: o.Class})
	}
	for _, key := range keys {
		s := b.seriesFor(key, now)
		// An organisation's own objective applies to its series only.
		if key.Organisation != "" || s.objective == 0 {
			s.objective = o.Objective
		}
		s.lastRecorded = now
		s.short.add(now, count)
		s.long.add(now, count)
	}
}

// SetObjective sets the objective of a class's series; Record does not overwrite it.
func (b *Burn) SetObjective(class string, objective float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seriesFor(BurnKey{Class: class}, b.clock.Now()).objective = objective
}

// seriesFor returns the key's series, or the one shared by organisations beyond the limit.
func (b *Burn) seriesFor(key BurnKey, now time.Time) *burnSeries {
	if s, ok := b.series[key]; ok {
		return s
	}
	if key.Organisation != "" && len(b.series) >= b.limit && !b.evict(now) {
		key.Organisation = OtherOrganisations
		if s, ok := b.series[key]; ok {
			return s
		}
	}
	s := &burnSeries{
		short: newBurnRing(shortBucketWidth, shortBuckets),
		long:  newBurnRing(longBucketWidth, longBuckets),
	}
	b.series[key] = s
	return s
}

// evict removes one organisation's series whose counts have all expired and
// reports whether it found one. After a search without result it waits a minute.
func (b *Burn) evict(now time.Time) bool {
	if now.Before(b.nextEviction) {
		return false
	}
	for key, s := range b.series {
		if key.Organisation != "" && now.Sub(s.lastRecorded) > longBucketWidth*longBuckets {
			delete(b.series, key)
			return true
		}
	}
	b.nextEviction = now.Add(shortBucketWidth)
	return false
}
