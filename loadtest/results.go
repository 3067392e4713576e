package loadtest

import (
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// result is the outcome of one request at its caller.
type result struct {
	query      query
	started    time.Time
	duration   time.Duration
	firstToken time.Duration // time to the first token, zero if there was none
	status     int
	request    string
	verdict    peridotusher.Verdict
	retryAfter string
	text       string
	detail     string
	ended      bool
	complete   bool
	crossed    bool
	prompt     int // tokens, as reported by the engine
	completion int
	cached     int
	reusable   int // prompt tokens that earlier turns have cached
}

// results collects the results of all callers.
type results struct {
	mu  sync.Mutex
	all []result
}

func (rs *results) add(r result) {
	r.text = ""
	r.query.Messages = nil
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.all = append(rs.all, r)
}

// since returns the results of the requests that started at or after the time.
func (rs *results) since(start time.Time) []result {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var list []result
	for _, r := range rs.all {
		if !r.started.Before(start) {
			list = append(list, r)
		}
	}
	return list
}

// percentile returns the value below which the fraction p of the values lies.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}
