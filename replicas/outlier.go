package replicas

import "time"

const (
	// minOutlierSamples is the number of recent outcomes below which a replica is not ejected.
	minOutlierSamples = 3.5
	// maxFailureExcess is how much higher the failure ratio of a replica may be than that of
	// the other replicas of the service.
	maxFailureExcess = 0.28
	// maxEjectedShare bounds the share of a service's replicas that are ejected as outliers:
	// if most of them fail, the cause is not a single replica.
	maxEjectedShare = 0.4
)

// Healthy returns the replicas that are neither unreachable nor ejected, or all of them if
// there is no such replica.
func Healthy(now time.Time, all []*Replica) []*Replica {
	healthy := make([]*Replica, 0, len(all))
	for _, r := range all {
		if !r.Ejected(now) && !r.Unreachable() {
			healthy = append(healthy, r)
		}
	}
	if len(healthy) == 0 {
		return all
	}
	return healthy
}

// Ejected reports whether the replica is ejected.
func (r *Replica) Ejected(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.ejected(now)
}

// Outlier is a replica that was ejected by DetectOutliers.
type Outlier struct {
	*Replica
	// Samples is the decayed number of recent outcomes, FailureRatio the failed fraction of them, and
	// Baseline the failure ratio of the service's other replicas.
	Samples, FailureRatio, Baseline float64
}

// DetectOutliers ejects replicas of one service that fail far more often than the others,
// and returns them.
func DetectOutliers(now time.Time, all []*Replica) []Outlier {
	var outliers []Outlier
	var sumSamples, sumBad float64
	ejected := 0
	ratios := make([]outcomeSummary, len(all))
	for i, r := range all {
		ratios[i] = r.summarizeOutcomes(now)
		sumSamples += ratios[i].samples
		sumBad += ratios[i].samples * ratios[i].failureRatio
		if ratios[i].ejected {
			ejected++
		}
	}
	for i, r := range all {
		samples, failed := ratios[i].samples, ratios[i].failureRatio
		if samples < minOutlierSamples || float64(ejected+1) > maxEjectedShare*float64(len(all)) {
			continue
		}
		baseline := 0.0
		if rest := sumSamples - samples; rest > 1 {
			baseline = (sumBad - samples*failed) / rest
		}
		if failed > baseline+maxFailureExcess {
			r.mu.Lock()
			r.health.eject(now)
			r.mu.Unlock()
			ejected++
			outliers = append(outliers, Outlier{Replica: r, Samples: samples, FailureRatio: failed, Baseline: baseline})
		}
	}
	return outliers
}
