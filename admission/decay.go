package admission

import (
	"math"
	"time"
)

// decayingCount is a count that decays exponentially with the time constant tau.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// value returns the decayed count at now.
func (d *decayingCount) value(now time.Time, tau time.Duration) float64 {
	age := now.Sub(d.updatedAt)
	if d.count == 0 || age <= 0 {
		return d.count
	}
	return d.count * math.Exp(-age.Seconds()/tau.Seconds())
}

// add adds n to the count at now.
func (d *decayingCount) add(n float64, now time.Time, tau time.Duration) {
	d.count = d.value(now, tau) + n
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
}

// movingMean is a moving mean with the mean absolute deviation from it.
type movingMean struct {
	value, deviation float64
	samples          int // up to maxMeanSamples
}

// maxMeanSamples bounds the weight of past samples: the latest one has at least the weight
// 1/64. With 16 the estimated rate of a service varied by a tenth, too much for retry-after
// times of seconds.
const maxMeanSamples = 64

// add adds a sample.
func (m *movingMean) add(sample float64) {
	if m.samples == 0 {
		*m = movingMean{value: sample, deviation: sample / 2, samples: 1}
		return
	}
	m.samples = min(m.samples+1, maxMeanSamples)
	weight := 1 / float64(m.samples)
	m.deviation += weight * (math.Abs(sample-m.value) - m.deviation)
	m.value += weight * (sample - m.value)
}
