package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/callers"
)

// summary holds the figures of the table that the demo prints at the end.
type summary struct {
	results   []callers.Result
	keys      []string
	stopError error

	requests     int
	complete     int
	returned     int
	notRun       int
	mayHaveRun   int
	crossed      int
	repeated     int
	cacheReuse   float64
	skew         float64
	controlRate  float64 // mean bytes per second that a router sends to its peers
	firstFailure string
}

// count computes the figures from the clients' results and the counts of the simulated endpoints.
func (s *summary) count(f *fleet) {
	for _, r := range s.results {
		s.addResult(r)
	}
	s.repeated = repeatedRuns(f, s.keys)
	s.cacheReuse = cacheReuse(f)
	s.skew = skew(f)
	s.controlRate = controlRate(f)
}

func (s *summary) addResult(r callers.Result) {
	s.requests++
	s.returned += r.Returns
	switch {
	case r.Whole:
		s.complete++
	case r.Crossed:
		s.crossed++
	case r.Verdict == peridotusher.NotRun:
		s.notRun++
	default:
		s.mayHaveRun++
	}
	if !r.Whole && s.firstFailure == "" {
		s.firstFailure = r.Kind + ": " + r.Detail
	}
}

// repeatedRuns returns the number of idempotency keys whose action ran more than once, over all replicas.
func repeatedRuns(f *fleet, keys []string) int {
	runs := map[string]int{}
	for _, s := range f.services {
		for key, n := range s.Stats().Keys {
			runs[key] += n
		}
	}
	repeated := 0
	for _, key := range keys {
		if runs[key] > 1 {
			repeated++
		}
	}
	return repeated
}

// cacheReuse returns the fraction of prompt tokens that the engines had in their caches.
func cacheReuse(f *fleet) float64 {
	hits, all := 0, 0
	for _, e := range f.engines {
		stats := e.Stats()
		hits += stats.HitTokens
		all += stats.HitTokens + stats.MissTokens
	}
	return float64(hits) / float64(max(all, 1))
}

// skew returns the number of runs of the busiest engine divided by the mean.
func skew(f *fleet) float64 {
	most, all := 0, 0
	for _, e := range f.engines {
		runs := len(e.Stats().Order)
		most = max(most, runs)
		all += runs
	}
	mean := float64(all) / float64(len(f.engines))
	return float64(most) / max(mean, 1)
}

func controlRate(f *fleet) float64 {
	var sum float64
	for _, r := range f.routers {
		sum += float64(r.host.ControlCounts().SentBytes) / time.Since(f.started).Seconds()
	}
	return sum / float64(len(f.routers))
}

func (s *summary) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "asked\t%d\n", s.requests)
	fmt.Fprintf(t, "whole\t%d\n", s.complete)
	fmt.Fprintf(t, "refused and came back\t%d\n", s.returned)
	fmt.Fprintf(t, "not run\t%d\n", s.notRun)
	fmt.Fprintf(t, "may have run\t%d\n", s.mayHaveRun)
	fmt.Fprintf(t, "crossed\t%d\n", s.crossed)
	fmt.Fprintf(t, "repeated\t%d\n", s.repeated)
	fmt.Fprintf(t, "cache reuse\t%.3f\n", s.cacheReuse)
	fmt.Fprintf(t, "skew (most runs of an engine / mean)\t%.2f\n", s.skew)
	fmt.Fprintf(t, "control bytes a second, each router\t%.0f\n", s.controlRate)
	// A failed write to the terminal can't be reported anywhere else.
	_ = t.Flush()
}

// verdict returns an error if the run failed, nil if it succeeded.
func (s *summary) verdict() error {
	switch {
	case s.stopError != nil:
		return s.stopError
	case s.requests == 0:
		return errors.New("nothing was asked")
	case s.repeated > 0:
		return errors.Newf("%d actions ran more than once", s.repeated)
	case s.complete < s.requests:
		return errors.Newf("%d of %d answers were not whole; first: %s", s.requests-s.complete, s.requests, s.firstFailure)
	}
	return nil
}
