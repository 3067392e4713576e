package placing

import (
	"math"
	"time"
)

const (
	// crossZoneRoundTrip is the assumed round trip to a replica of another availability zone;
	// the real ones take 1 to 7 ms.
	crossZoneRoundTrip = 4 * time.Millisecond
	// prefillTokensPerSecond is the number of prompt tokens that a model replica with a pace
	// of 1 reads in a second; see maxWaitingPrefill.
	prefillTokensPerSecond = 4 * maxWaitingPrefill
)

// Latency is how long a request of a service takes at a replica with a pace of 1.
type Latency struct {
	// FirstByte is the time from when the request has a slot until the first byte of its answer,
	// without the time for reading its prompt.
	FirstByte time.Duration
	// Total is the time for which the request occupies a slot.
	Total time.Duration
}

// Estimate predicts when the first byte of a request's answer arrives from a replica.
type Estimate struct {
	// Zone is the router's own availability zone.
	Zone    string
	Latency Latency
	// Tokens is the number of prompt tokens that the replica has to read.
	Tokens int
}

// FirstByte returns the expected time from sending the request to a candidate until the first
// byte of the answer.
func (e Estimate) FirstByte(c Candidate) time.Duration {
	wait := waitForSlot(c) * float64(e.Latency.Total)
	atPaceOne := wait + float64(e.Latency.FirstByte) + float64(e.prefillTime(c))
	return time.Duration(c.pace()*atPaceOne) + e.zoneDelay(c)
}

// Normalize returns the latency at an idle replica of the router's zone with a pace of 1, for an
// answer of a candidate whose first byte arrived after firstByte and whose end arrived after
// total. It removes the effects of the pace, the load, the zone and the prompt.
func (e Estimate) Normalize(c Candidate, firstByte, total time.Duration) Latency {
	normalize := func(measured time.Duration) time.Duration {
		atPaceOne := float64(measured-e.zoneDelay(c)) / c.pace()
		delay := waitForSlot(c)*float64(e.Latency.Total) + float64(e.prefillTime(c))
		return max(time.Duration(atPaceOne-delay), 0)
	}
	return Latency{FirstByte: normalize(firstByte), Total: normalize(total)}
}

// prefillTime returns the time in which a replica with a pace of 1 reads the prompt and those
// that wait at the candidate.
func (e Estimate) prefillTime(c Candidate) time.Duration {
	return time.Duration((float64(e.Tokens) + c.Prefill) / prefillTokensPerSecond * float64(time.Second))
}

// zoneDelay returns the network delay to a candidate of another zone; 0 within the zone.
func (e Estimate) zoneDelay(c Candidate) time.Duration {
	if c.Zone == e.Zone {
		return 0
	}
	return crossZoneRoundTrip
}

// waitForSlot returns the expected wait for a slot as a multiple of the time for which a
// request occupies one. The reported number of requests at the candidate is out of date, so
// the actual one is modeled as normally distributed with the variance of a Poisson
// distribution.
func waitForSlot(c Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	over := float64(c.Load) + 1 - slots // requests that must end first
	deviation := math.Sqrt(float64(max(c.Load, 0)) + 1)
	x := over / deviation
	density := math.Exp(-x*x/2) / math.Sqrt(2*math.Pi)
	above := math.Erfc(-x/math.Sqrt2) / 2
	return max(over*above+deviation*density, 0) / slots
}
