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

// summary is the closing table.
type summary struct {
	results   []callers.Result
	keys      []string
	stopError error

	asked       int
	whole       int
	returned    int
	notRun      int
	mayHaveRun  int
	crossed     int
	repeated    int
	cacheReuse  float64
	skew        float64
	control     float64 // bytes a second for each router
	firstDetail string
}

// count adds up the callers' results and the stand-ins' counts.
func (s *summary) count(f *fleet) {
	for _, r := range s.results {
		s.addResult(r)
	}
	s.repeated = repeatedRuns(f, s.keys)
	s.cacheReuse = cacheReuse(f)
	s.skew = skew(f)
	s.control = controlRate(f)
}

func (s *summary) addResult(r callers.Result) {
	s.asked++
	s.returned += r.Returns
	switch {
	case r.Whole:
		s.whole++
	case r.Crossed:
		s.crossed++
	case r.Verdict == peridotusher.NotRun:
		s.notRun++
	default:
		s.mayHaveRun++
	}
	if !r.Whole && s.firstDetail == "" {
		s.firstDetail = r.Kind + ": " + r.Detail
	}
}

// repeatedRuns counts the keys that ran more than once over all replicas.
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

// cacheReuse returns the share of prompt tokens that engines found cached.
func cacheReuse(f *fleet) float64 {
	hits, all := 0, 0
	for _, e := range f.engines {
		stats := e.Stats()
		hits += stats.HitTokens
		all += stats.HitTokens + stats.MissTokens
	}
	return float64(hits) / float64(max(all, 1))
}

// skew returns the busiest engine's runs as a multiple of the mean.
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
	fmt.Fprintf(t, "asked\t%d\n", s.asked)
	fmt.Fprintf(t, "whole\t%d\n", s.whole)
	fmt.Fprintf(t, "refused and came back\t%d\n", s.returned)
	fmt.Fprintf(t, "not run\t%d\n", s.notRun)
	fmt.Fprintf(t, "may have run\t%d\n", s.mayHaveRun)
	fmt.Fprintf(t, "crossed\t%d\n", s.crossed)
	fmt.Fprintf(t, "repeated\t%d\n", s.repeated)
	fmt.Fprintf(t, "cache reuse\t%.3f\n", s.cacheReuse)
	fmt.Fprintf(t, "skew (most runs of an engine / mean)\t%.2f\n", s.skew)
	fmt.Fprintf(t, "control bytes a second, each router\t%.0f\n", s.control)
	// The table goes to a terminal or a buffer; there is nobody to tell.
	_ = t.Flush()
}

// verdict returns what went wrong, nil if nothing did.
func (s *summary) verdict() error {
	switch {
	case s.stopError != nil:
		return s.stopError
	case s.asked == 0:
		return errors.New("nothing was asked")
	case s.repeated > 0:
		return errors.Newf("%d actions ran more than once", s.repeated)
	case s.whole < s.asked:
		return errors.Newf("%d of %d answers were not whole; first: %s", s.asked-s.whole, s.asked, s.firstDetail)
	}
	return nil
}
