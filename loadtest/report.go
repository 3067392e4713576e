package loadtest

import (
	"fmt"
	"strings"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/standin"
)

// Report holds the figures of one run.
type Report struct {
	fields []field
	points []point
	start  time.Time
	title  string
}

// field is one key=value pair of Line.
type field struct {
	key   string
	value string
}

// Line returns the figures as key=value pairs.
func (r *Report) Line() string {
	pairs := make([]string, 0, len(r.fields))
	for _, f := range r.fields {
		pairs = append(pairs, f.key+"="+f.value)
	}
	return strings.Join(pairs, " ")
}

func (r *Report) add(key, format string, args ...any) {
	r.fields = append(r.fields, field{key, fmt.Sprintf(format, args...)})
}

// report computes the figures of the measured time.
func (m *measurement) report() *Report {
	t := m.test
	r := &Report{start: m.start, title: fmt.Sprintf("%s, %s, seed %d", t.Scenario, t.Placement, t.Seed)}
	r.add("scenario", "%s", t.Scenario)
	r.add("policy", "%s", t.Placement)
	r.add("seed", "%d", t.Seed)
	r.add("seconds", "%.0f", m.end.Sub(m.start).Seconds())
	list := m.traffic.results.since(m.start)
	r.add("requests", "%d", len(list))
	m.reportCache(r, list)
	m.reportBalance(r)
	m.reportCallers(r, list)
	m.reportControl(r, len(list))
	return r
}

// reportCache compares the prompt tokens found in the engines' caches with those that
// the oracle would have found. cache_hits covers all prompts at the engines.
func (m *measurement) reportCache(r *Report, list []result) {
	var cached, reusable, prompt int
	for _, res := range list {
		cached += res.cached
		reusable += res.reusable
		if res.query.Chat != "" {
			prompt += res.prompt
		}
	}
	hits := m.hitsAfter.hits - m.hitsBefore.hits
	misses := m.hitsAfter.misses - m.hitsBefore.misses
	r.add("cache_reuse", "%.4f", ratio(cached, prompt))
	r.add("cache_reuse_oracle", "%.4f", ratio(reusable, prompt))
	r.add("cache_of_oracle", "%.4f", ratio(cached, reusable))
	r.add("cache_hits", "%.4f", ratio(hits, hits+misses))
}

func (m *measurement) reportBalance(r *Report) {
	changes := m.faults.changes
	for _, e := range m.bed.Engines {
		changes = append(changes, workChanges(e.Engine)...)
	}
	b := replay(changes, m.test.bound(), m.start, m.end)
	r.points = b.points
	r.add("mean_work", "%.2f", b.meanWork)
	r.add("skew_max", "%.2f", b.skewMax)
	r.add("skew_p99", "%.2f", b.skewP99)
	r.add("admissions", "%d", b.admissions)
	r.add("bound_violations", "%d", b.violations)
	r.add("bound_excess_max", "%d", b.maxExcess)
}

// reportCallers counts the outcomes at the callers. late counts complete answers that
// exceeded the deadline or the limit on the time to the first token.
func (m *measurement) reportCallers(r *Report, list []result) {
	doc := m.test.parseDocument()
	var notRun, mayHaveRun, truncated, crossed, late int
	var served, offered float64
	var first, others []time.Duration
	for _, res := range list {
		org, _ := doc.Organisation(organisations[res.query.Organisation])
		offered += org.RequestValue()
		switch {
		case res.complete && isLate(doc, res):
			late++
		case res.complete:
			served += org.RequestValue()
		case res.status == 200:
			truncated++
		case res.verdict == peridotusher.NotRun:
			notRun++
		}
		if !res.complete && res.verdict == peridotusher.MayHaveRun {
			mayHaveRun++
		}
		if res.crossed {
			crossed++
		}
		if res.query.Class == classChat && res.firstToken > 0 {
			first = append(first, res.firstToken)
			if res.query.Organisation != surgingOrganisation {
				others = append(others, res.firstToken)
			}
		}
	}
	r.add("not_run", "%d", notRun)
	r.add("may_have_run", "%d", mayHaveRun)
	r.add("truncated", "%d", truncated)
	r.add("crossed", "%d", crossed)
	r.add("late", "%d", late)
	r.add("first_token_p50", "%s", ms(percentile(first, 0.50)))
	r.add("first_token_p95", "%s", ms(percentile(first, 0.95)))
	r.add("first_token_p99", "%s", ms(percentile(first, 0.99)))
	r.add("others_first_p95", "%s", ms(percentile(others, 0.95)))
	r.add("worth_served", "%.4f", served/max(offered, 1))
}

// isLate reports whether a complete answer exceeded the time limits of its class.
func isLate(doc *document.Document, res result) bool {
	class, _ := doc.Class(res.query.Class)
	return res.duration > class.Deadline() || (class.FirstToken() > 0 && res.firstToken > class.FirstToken())
}

// reportControl adds the cost of the control traffic, per router and second. control_cpu
// and rss cover the router's entire process, so they are upper bounds.
func (m *measurement) reportControl(r *Report, requests int) {
	var bytes, asks, cpu float64
	rss := 0
	for i, after := range m.after {
		before := m.before[i]
		if after.bytes < before.bytes || after.cpu < before.cpu {
			before = usage{}
		}
		bytes += after.bytes - before.bytes
		asks += after.asks - before.asks
		cpu += (after.cpu - before.cpu).Seconds()
		rss = max(rss, after.rss)
	}
	routerSeconds := m.end.Sub(m.start).Seconds() * float64(len(m.after))
	r.add("added_latency_p99", "%s", ms(permitPercentile(m.before, m.after, 0.99)))
	r.add("added_latency_p50", "%s", ms(permitPercentile(m.before, m.after, 0.50)))
	r.add("asks_per_request", "%.2f", asks/float64(max(requests, 1)))
	r.add("control_bytes", "%.0f", bytes/routerSeconds)
	r.add("control_bytes_request", "%.0f", bytes/float64(max(requests, 1)))
	r.add("control_cpu", "%.4f", cpu/routerSeconds)
	r.add("rss", "%d", rss)
	r.add("store_calls", "%d", storeCalls(m.storeAfter)-storeCalls(m.storeBefore))
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000)
}

func storeCalls(c standin.StoreCalls) int {
	return c.Get + c.List + c.Swap + c.Delete + c.Lease + c.Watch
}
