package account

import (
	"cmp"
	"slices"
	"strconv"
)

// GroupBy is the attribute by which a tally groups requests.
type GroupBy string

// The attributes to group by.
const (
	ByRoute   GroupBy = "route"
	ByZone    GroupBy = "zone"
	ByReplica GroupBy = "replica"
	// BySecond groups by the whole seconds since the first request.
	BySecond GroupBy = "second"
)

// Row holds the counts of one group of requests.
type Row struct {
	Key      string          `json:"key"`
	Requests int             `json:"requests"`
	Counts   map[Outcome]int `json:"counts"`
}

// Share returns the fraction of the requests with the outcome.
func (r Row) Share(o Outcome) float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.Counts[o]) / float64(r.Requests)
}

// Tally groups requests and counts their outcomes. Rows by second are in order of time, all
// others in ascending order of the fraction of requests in time.
func Tally(requests []Request, by GroupBy) []Row {
	rows := make(map[string]*Row)
	var keys []string
	for _, r := range requests {
		key := groupKey(r, requests[0], by)
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
			return cmp.Compare(parseSecond(a.Key), parseSecond(b.Key))
		}
		return cmp.Or(cmp.Compare(a.Share(InTime), b.Share(InTime)), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// groupKey returns the key of the request's group, "-" if the attribute is unknown.
func groupKey(r, first Request, by GroupBy) string {
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

func parseSecond(key string) int {
	n, err := strconv.Atoi(key)
	if err != nil {
		return 0 // does not occur: the keys of BySecond are numbers
	}
	return n
}

// Loss is the number of requests that were lost with the same outcome and cause.
type Loss struct {
	Outcome  Outcome `json:"outcome"`
	Cause    string  `json:"cause"`
	Requests int     `json:"requests"`
}

// Losses counts the lost requests, all but those in time or denied, by outcome and cause in
// descending order of the count.
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
