package peridotusher

import "time"

// maxTotalAge is the age up to which a total may be used in place of the current one.
const maxTotalAge = 400 * time.Millisecond

// totalWindow holds recent totals of the loads of other owners' engines.
type totalWindow struct {
	samples []totalSample
}

// totalSample is the total at one time.
type totalSample struct {
	at    time.Time
	total int
}

func (w *totalWindow) add(now time.Time, total int) {
	w.samples = append(w.samples, totalSample{now, total})
	cutoff := now.Add(-maxTotalAge)
	for len(w.samples) > 1 && w.samples[0].at.Before(cutoff) {
		w.samples = w.samples[1:]
	}
}

// lowestShare returns the lowest recent total as a share of the latest. The real
// total may have fallen before its report arrives; admission by the recent minimum
// keeps a late report from raising the limit.
func (w *totalWindow) lowestShare() float64 {
	if len(w.samples) == 0 {
		return 1
	}
	latest := w.samples[len(w.samples)-1].total
	lowest := latest
	for _, s := range w.samples {
		lowest = min(lowest, s.total)
	}
	if latest == 0 {
		return 1
	}
	return float64(lowest) / float64(latest)
}
