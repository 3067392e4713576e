package account

import (
	"cmp"
	"slices"
	"strconv"
)

// By is what requests are told apart by in a tally.
type By string

// What requests are told apart by.
const (
	ByRoute   By = "route"
	ByZone    By = "zone"
	ByReplica By = "replica"
	// BySecond counts seconds from the first request.
	BySecond By = "second"
)

// Row is a line of a tally.
type Row struct {
	Key      string          `json:"key"`
	Requests int             `json:"requests"`
	Counts   map[Outcome]int `json:"counts"`
}

// Part returns the part of the requests that had an outcome.
func (r Row) Part(o Outcome) float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.Counts[o]) / float64(r.Requests)
}

// Tally counts the outcomes of requests by what they are told apart by: seconds in
// their order, others with the smallest part in time first.
func Tally(requests []Request, by By) []Row {
	rows := make(map[string]*Row)
	var keys []string
	for _, r := range requests {
		key := keyOf(r, requests[0], by)
		row, ok := rows[key]
		if !ok {
			row = &Row{Key: key, Counts: make(map[Outcome]int)}
			rows[key] = row
			keys = append(keys, key)
		}
		row.Requests++
		row.Counts[r.Outcome]++
	}
	out := make([]Row, len(keys))
	for i, key := range keys {
		out[i] = *rows[key]
	}
	slices.SortStableFunc(out, func(a, b Row) int {
		if by == BySecond {
			return cmp.Compare(second(a.Key), second(b.Key))
		}
		return cmp.Or(cmp.Compare(a.Part(InTime), b.Part(InTime)), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// keyOf returns what tells the request apart.
func keyOf(r, first Request, by By) string {
	switch by {
	case ByZone:
		return cmp.Or(r.Zone, "-")
	case ByReplica:
		return cmp.Or(r.Replica, "-")
	case BySecond:
		return strconv.Itoa(int(r.At.Sub(first.At).Seconds()))
	default:
		return cmp.Or(r.Route, "-")
	}
}

func second(key string) int {
	n, err := strconv.Atoi(key)
	if err != nil {
		return 0 // keys of seconds are numbers
	}
	return n
}

// Loss is a number of requests that were lost to the same cause.
type Loss struct {
	Outcome  Outcome `json:"outcome"`
	Cause    string  `json:"cause"`
	Requests int     `json:"requests"`
}

// Losses counts the requests that were lost by what they were lost to, the most first.
func Losses(requests []Request) []Loss {
	type kind struct {
		outcome Outcome
		cause   string
	}
	counts := make(map[kind]int)
	for _, r := range requests {
		if r.Outcome != InTime && r.Outcome != Denied {
			counts[kind{r.Outcome, r.Cause}]++
		}
	}
	var out []Loss
	for k, n := range counts {
		out = append(out, Loss{Outcome: k.outcome, Cause: k.cause, Requests: n})
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}
