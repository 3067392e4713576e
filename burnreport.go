package peridotusher

import (
	"cmp"
	"slices"
	"time"
)

// BurnPair is a pair of windows that raise one burn-rate alarm together: the
// long window shows that a significant part of the budget was spent, the short
// one that it is still being spent.
type BurnPair struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	Rate  float64 // burn rate that raises the alarm; 1 spends the budget evenly over its period
}

// burnPeriod is the period that the error budget covers.
const burnPeriod = 30 * 24 * time.Hour

// BurnPairs returns the pairs. Fast stands for 2% of the budget of 30 days spent
// in one hour, slow for 5% in six hours.
func BurnPairs() []BurnPair {
	return []BurnPair{
		{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Rate: 0.02 * float64(burnPeriod/time.Hour)},
		{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Rate: 0.05 * float64(burnPeriod/(6*time.Hour))},
	}
}

// BurnWindows returns the windows of the pairs, shortest first.
func BurnWindows() []time.Duration {
	var windows []time.Duration
	for _, p := range BurnPairs() {
		windows = append(windows, p.Short, p.Long)
	}
	slices.Sort(windows)
	return windows
}

// BurnRow is one series of a report.
type BurnRow struct {
	Key       BurnKey
	Objective float64
	Windows   []BurnCount // in the order of BurnWindows
	History   []BurnCount // buckets of BurnStep, oldest first; only for series of all organisations
}

// BurnStep is the width of a bucket of a row's history.
const BurnStep = longBucketWidth

// BurnReport holds the counts of one router, or the sum over several.
type BurnReport struct {
	Started time.Time // when the router that started last began to count
	At      time.Time
	Rows    []BurnRow
}

// Report returns the counts up to now, series of all organisations first.
func (b *Burn) Report() BurnReport {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	report := BurnReport{Started: b.started, At: now}
	for key, s := range b.series {
		row := BurnRow{Key: key, Objective: s.objective}
		for _, w := range BurnWindows() {
			ring := &s.short
			if w > shortBucketWidth*(shortBuckets-1) {
				ring = &s.long
			}
			row.Windows = append(row.Windows, ring.sum(now, w))
		}
		if key.Organisation == "" {
			row.History = s.long.history(now)
		}
		report.Rows = append(report.Rows, row)
	}
	sortBurnRows(report.Rows)
	return report
}

// MergeBurn adds up the reports of several routers.
func MergeBurn(reports []BurnReport) BurnReport {
	var merged BurnReport
	index := map[BurnKey]int{}
	for _, r := range reports {
		if r.Started.After(merged.Started) {
			merged.Started = r.Started
		}
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, row := range r.Rows {
			i, ok := index[row.Key]
			if !ok {
				i = len(merged.Rows)
				index[row.Key] = i
				merged.Rows = append(merged.Rows, BurnRow{Key: row.Key})
			}
			merged.Rows[i] = addBurnRows(merged.Rows[i], row)
		}
	}
	sortBurnRows(merged.Rows)
	return merged
}

func addBurnRows(sum, row BurnRow) BurnRow {
	sum.Objective = max(sum.Objective, row.Objective)
	sum.Windows = addBurnCounts(sum.Windows, row.Windows)
	sum.History = addBurnCounts(sum.History, row.History)
	return sum
}

// addBurnCounts adds two lists of counts that are aligned at their last, newest entry.
func addBurnCounts(a, b []BurnCount) []BurnCount {
	if len(a) < len(b) {
		a, b = b, a
	}
	sum := slices.Clone(a)
	for i := range b {
		at := len(sum) - len(b) + i
		sum[at] = sum[at].Add(b[i])
	}
	return sum
}

func sortBurnRows(rows []BurnRow) {
	slices.SortFunc(rows, func(a, b BurnRow) int {
		if (a.Key.Organisation == "") != (b.Key.Organisation == "") {
			return cmp.Compare(a.Key.Organisation, b.Key.Organisation)
		}
		return cmp.Or(cmp.Compare(a.Key.Class, b.Key.Class), cmp.Compare(a.Key.Organisation, b.Key.Organisation))
	})
}

// Rate returns the burn rate, weighted by the requests' value: 1 spends the error
// budget evenly over its period. It is zero without requests.
func (c BurnCount) Rate(objective float64) float64 {
	if c.Value == 0 || objective >= 1 && c.BadValue == 0 {
		return 0
	}
	const smallestBudget = 1e-6 // avoids division by zero for an objective of 100%
	return c.BadValue / c.Value / max(1-objective, smallestBudget)
}

// Attained returns the share of the requests' value that was answered completely and
// in time.
func (c BurnCount) Attained() float64 {
	if c.Value == 0 {
		return 1
	}
	return 1 - c.BadValue/c.Value
}

// Window returns the row's count of a window.
func (r BurnRow) Window(d time.Duration) BurnCount {
	for i, w := range BurnWindows() {
		if w == d && i < len(r.Windows) {
			return r.Windows[i]
		}
	}
	return BurnCount{}
}

// Alarms returns the names of the pairs whose windows are both at or above their rate.
func (r BurnRow) Alarms() []string {
	var names []string
	for _, p := range BurnPairs() {
		if r.Window(p.Short).Rate(r.Objective) >= p.Rate && r.Window(p.Long).Rate(r.Objective) >= p.Rate {
			names = append(names, p.Name)
		}
	}
	return names
}

// Spent returns the share of the error budget of 30 days that was spent in the
// longest window.
func (r BurnRow) Spent() float64 {
	windows := BurnWindows()
	longest := windows[len(windows)-1]
	return r.Window(longest).Rate(r.Objective) * float64(longest) / float64(burnPeriod)
}

// CountsAgainstBudget reports whether a failure with this cause counts against the error
// budget. A request that no router could have answered does not.
func CountsAgainstBudget(c Cause) bool {
	switch c {
	case CauseBadRequest, CauseBadKey, CauseUnknownModel, CauseUnknownRoute, CauseTooLarge, CauseOrgLimit,
		CauseKeyMissing, CauseKeyReused, CauseKeyExpired, CauseKeyBusy, CauseCallerDisconnected:
		return false
	default:
		return true
	}
}
