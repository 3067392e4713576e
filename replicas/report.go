package replicas

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// reportTTL is how long a report of a replica's load is used and forwarded to other routers.
const reportTTL = 2 * time.Second

// Report is the load that a replica reported in an answer to some router. In a large fleet
// routers forward reports to each other, so that each of them knows the loads of busy
// replicas even though it receives few answers itself.
type Report struct {
	// Replica is the replica's hash; see HashOf.
	Replica uint32
	// Load is the number of requests running and waiting.
	Load int32
	// Pace is the replica's slowdown factor: how long work takes relative to the usual time;
	// 0 if it was not reported.
	Pace float64
	Age  time.Duration
}

// loadReport is the latest report of a replica's load.
type loadReport struct {
	load int32
	own  int32 // this router's requests at that time
	at   time.Time
	// smoothed is the load without this router's requests, averaged over smoothingTimeConstant.
	smoothed float64
}

// smoothingTimeConstant is the time constant of the moving average of reported loads.
const smoothingTimeConstant = time.Second

// ReportLoad records a load that the replica reported if it is newer than the last one.
func (r *Replica) ReportLoad(at time.Time, load int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.report.at) {
		return
	}
	baseline, since := r.report.smoothed, at.Sub(r.report.at)
	r.report = loadReport{load: int32(load), own: r.ownRequests.Load(), at: at}
	others := float64(max(r.report.load-r.report.own, 0))
	r.report.smoothed = others + (baseline-others)*math.Exp(-float64(since)/float64(smoothingTimeConstant))
	r.remote.smoothed.Store(int32(math.Round(r.report.smoothed)))
	if at.After(r.lastSuccess) {
		r.lastSuccess = at // it answered some router
	}
	r.remote.reported.Store(max(r.report.load-r.report.own, 0))
}

// LatestLoad returns the number of requests at the replica according to its last report, or
// Load if there is no recent report.
func (r *Replica) LatestLoad(now time.Time) int {
	r.mu.Lock()
	report := r.report
	r.mu.Unlock()
	if now.Sub(report.at) < reportTTL {
		return int(report.load)
	}
	return r.Load()
}

// SetUsesReports sets whether loads are taken from the replicas' reports, which in a large
// fleet are newer than the counts of other routers.
func (t *Table) SetUsesReports(uses bool) { t.usesReports.Store(uses) }

// UsesReports reports whether loads are taken from the replicas' reports.
func (t *Table) UsesReports() bool { return t.usesReports.Load() }

// Reports returns at most limit reports to publish, and none if loads are not taken from
// reports.
func (t *Table) Reports(limit int) []Report {
	if !t.usesReports.Load() {
		return nil
	}
	now := t.clock.Now()
	var reports []Report
	t.ForEach(func(r *Replica) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if age := now.Sub(r.report.at); age < reportTTL {
			report := Report{Replica: r.hash, Load: r.report.load, Age: age}
			if r.pace.at.Equal(r.report.at) {
				report.Pace = r.pace.last
			}
			reports = append(reports, report)
		}
	})
	return SampleReports(reports, limit)
}

// SampleReports returns at most limit of the reports: half of them the newest, the others
// chosen at random, so that reports of replicas with few answers spread too.
func SampleReports(reports []Report, limit int) []Report {
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
	if len(reports) <= limit {
		return reports
	}
	older := reports[limit/2:]
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	return reports[:limit]
}

// MergeReports merges reports that another router forwarded.
func (t *Table) MergeReports(reports []Report) {
	now := t.clock.Now()
	for _, report := range reports {
		if r, ok := t.Find(report.Replica); ok {
			at := now.Add(-report.Age)
			r.ReportLoad(at, int(report.Load))
			r.ReportPace(at, report.Pace)
		}
	}
}

// selectLoadSource sets for each replica whether its load is taken from its last report or,
// if that has expired, from the counts of other routers.
func (t *Table) selectLoadSource(now time.Time) {
	uses := t.usesReports.Load()
	t.ForEach(func(r *Replica) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remote.useReported.Store(uses && now.Sub(r.report.at) < reportTTL)
	})
}
