package admission

import "time"

const (
	// defaultServiceTime is the assumed time of a request until one has ended.
	defaultServiceTime = 100 * time.Millisecond
	// rateTau is the time constant of the counts of observed and expected releases.
	rateTau = time.Second
	// ratePrior is added to both counts, so that their ratio is near 1 after few releases.
	ratePrior = 20
	// minRateRatio and maxRateRatio bound the ratio of observed to expected releases.
	minRateRatio, maxRateRatio = 0.25, 4
)

// rateEstimate estimates how many requests a second the replicas can serve. Releases alone show
// that only while requests wait; before a burst they show the load. So the rate is computed
// from the slots, the service time and the pace of replicas, and corrected by the ratio of
// observed to expected releases while requests waited. It is right at the beginning of a burst,
// when earlier releases would give too low a rate, and falls at once when capacity is removed.
// The usual pace is 1.
type rateEstimate struct {
	serviceMean      movingMean    // time that a request takes alone, at usual pace
	holdMean         movingMean    // time from grant to release, at usual pace
	oldestGrantAge   time.Duration // time since the oldest grant in progress
	expected         float64       // releases a second from slots, service time and pace
	released         decayingCount // releases while requests waited
	expectedReleases decayingCount // releases expected in that time
	updatedAt        time.Time
}

// advance counts the releases expected since the last call, if requests waited.
func (e *rateEstimate) advance(waited bool, now time.Time) {
	if dt := now.Sub(e.updatedAt); waited && dt > 0 && dt < rateTau {
		e.expectedReleases.add(e.expected*dt.Seconds(), now, rateTau)
	}
	e.updatedAt = now
}

// perSecond returns the estimated rate.
func (e *rateEstimate) perSecond(now time.Time) float64 {
	ratio := (e.released.value(now, rateTau) + ratePrior) / (e.expectedReleases.value(now, rateTau) + ratePrior)
	return e.expected * min(max(ratio, minRateRatio), maxRateRatio)
}

// recordRelease records the times of a released request.
func (e *rateEstimate) recordRelease(granted *entry, u Usage, waiting bool, now time.Time) {
	pace := granted.pace
	if u.Pace > 0 {
		pace = (pace + min(max(u.Pace, minPace), maxPace)) / 2
	}
	duration := u.Took
	if duration <= 0 {
		duration = now.Sub(granted.grantedAt)
	}
	e.serviceMean.add(duration.Seconds() / pace / granted.contention)
	e.holdMean.add(now.Sub(granted.grantedAt).Seconds() / pace)
	if waiting {
		e.released.add(1, now, rateTau)
	}
}

// serviceTime returns the time that a request takes alone at usual pace.
func (e *rateEstimate) serviceTime() time.Duration {
	if e.serviceMean.samples == 0 {
		return max(defaultServiceTime, e.oldestGrantAge)
	}
	return max(secondsToDuration(e.serviceMean.value), time.Millisecond)
}

// holdTime returns the mean time from grant to release at usual pace, and a margin: most requests
// take less than their sum.
func (e *rateEstimate) holdTime() (hold, margin time.Duration) {
	if e.holdMean.samples == 0 {
		return e.serviceTime(), 0
	}
	return secondsToDuration(e.holdMean.value), secondsToDuration(2 * e.holdMean.deviation)
}

// expectedHoldTime returns the mean time from grant to release of one more request at the replica.
func (q *Queue) expectedHoldTime(r *replica) time.Duration {
	hold, _ := q.rate.holdTime()
	return time.Duration(float64(hold) * r.paceNow)
}

// requiredTime returns how long before the end of its latency target a waiting request must be
// granted: the mean hold time and twice the deviation, at the fastest replica. In overload all
// requests are granted near that time, so with the mean alone half of them would be late.
func (q *Queue) requiredTime() time.Duration {
	hold, margin := q.rate.holdTime()
	return time.Duration(float64(hold+margin) * q.fastestPace)
}

// wouldBeLate reports whether a waiting request would be late if it was granted the fastest
// replica now.
func (q *Queue) wouldBeLate(e *entry, now time.Time) bool {
	hold, _ := q.rate.holdTime()
	return now.Add(time.Duration(float64(hold) * q.fastestPace)).After(e.answerBy)
}

// refresh updates the estimates of replicas, organisations and levels to now.
func (q *Queue) refresh(now time.Time) {
	q.rate.expected, q.fastestPace = 0, maxPace
	service := q.rate.serviceTime()
	tau := service
	if q.rate.serviceMean.samples == 0 {
		tau = maxOtherLoadTau // a new queue does not know how long the requests of others take
	}
	for _, r := range q.replicas {
		r.refresh(now, tau)
		if r.unavailable {
			continue
		}
		q.fastestPace = min(q.fastestPace, r.paceNow)
		free := max(0, 1-r.otherLoadNow/float64(r.capacity()))
		q.rate.expected += free * float64(r.slots) / service.Seconds() / r.paceNow
	}
	for _, o := range q.organisations {
		o.requestedNow = o.requested.value(now, organisationTau)
		o.recentGrants = o.granted.value(now, organisationTau)
	}
	for _, l := range q.levels {
		l.refresh(now)
	}
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
