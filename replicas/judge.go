package replicas

import "time"

const (
	// judgeSamples is the number of recent outcomes below which no replica is
	// judged.
	judgeSamples = 3.5
	// judgeExcess is how much larger the failed part may be than that of the
	// other replicas of the service.
	judgeExcess = 0.28
	// benchedPart bounds the part of a service's replicas that is avoided for
	// failed answers: where most fail, the cause is not the replica.
	benchedPart = 0.4
)

// Sound returns the replicas that may be chosen: it leaves out those that are
// lost or avoided at the moment. It returns all of them if none would be left.
func Sound(now time.Time, all []*Replica) []*Replica {
	sound := make([]*Replica, 0, len(all))
	for _, r := range all {
		if !r.Avoided(now) && !r.Lost() {
			sound = append(sound, r)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// Avoided reports whether the replica is avoided at the moment.
func (r *Replica) Avoided(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standing.avoided(now)
}

// Judged is a replica that is avoided from now on.
type Judged struct {
	*Replica
	// Samples is the number of recent outcomes, Failed the part of them that
	// failed, Usual that at the other replicas.
	Samples, Failed, Usual float64
}

// Judge begins to avoid replicas that fail far more often than the others of
// their service, and returns them.
func Judge(now time.Time, all []*Replica) []Judged {
	var judged []Judged
	var sumSamples, sumBad float64
	avoided := 0
	ratios := make([]ratio, len(all))
	for i, r := range all {
		ratios[i] = r.ratio(now)
		sumSamples += ratios[i].samples
		sumBad += ratios[i].samples * ratios[i].failed
		if ratios[i].avoided {
			avoided++
		}
	}
	for i, r := range all {
		samples, failed := ratios[i].samples, ratios[i].failed
		if samples < judgeSamples || float64(avoided+1) > benchedPart*float64(len(all)) {
			continue
		}
		usual := 0.0
		if rest := sumSamples - samples; rest > 1 {
			usual = (sumBad - samples*failed) / rest
		}
		if failed > usual+judgeExcess {
			r.mu.Lock()
			r.standing.avoid(now)
			r.mu.Unlock()
			avoided++
			judged = append(judged, Judged{Replica: r, Samples: samples, Failed: failed, Usual: usual})
		}
	}
	return judged
}
