package admission

import "time"

// Reason is why a request was refused.
type Reason uint8

// The reasons.
const (
	// NoReplica means that no replica may be used for the request.
	NoReplica Reason = iota
	// InsufficientTime means that its answer was not expected to be in time.
	InsufficientTime
	// RetriedTooEarly means that its client retried before its retry-after time.
	RetriedTooEarly
	// QueueFull means that too many requests wait.
	QueueFull
	// TimedOut means that it waited until its answer could not be in time any more.
	TimedOut
	// Stopped means that the queue was stopped.
	Stopped

	reasonCount
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	names := [reasonCount]string{"no-replica", "no-time", "too-early", "full", "waited", "stopped"}
	if r >= reasonCount {
		return "unknown"
	}
	return names[r]
}

// Stats are the counts of a queue.
type Stats struct {
	// InProgress and Waiting are the numbers of requests with a slot and in the queue now.
	InProgress, Waiting int
	// Organisations and Fingerprints are how many of them are remembered now.
	Organisations, Fingerprints int
	// Rate is the estimated number of requests a second that the replicas can serve,
	// Service the estimated time of a request at pace 1.
	Rate    float64
	Service time.Duration

	// Granted counts grants, Waited those given after a wait, Released those that were
	// released and Expired those whose lease ended.
	Granted, Waited, Released, Expired uint64
	// Canceled counts the requests canceled while they waited or were granted.
	Canceled uint64
	// Refused counts refusals by Reason.
	Refused [reasonCount]uint64
	// RetriedOnTime and RetriedEarly count the refused clients that retried after their
	// retry-after time and before it. RetriesGranted counts the grants to clients that
	// retried on time.
	RetriedOnTime, RetriedEarly, RetriesGranted uint64
}

// Stats returns the counts.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.stats
	s.Waiting = q.waitingCount()
	s.InProgress = len(q.entries) - s.Waiting
	s.Organisations = len(q.organisations)
	s.Fingerprints = len(q.refused.byFingerprint)
	s.Rate = q.rate.perSecond(q.clock.Now())
	s.Service = q.rate.serviceTime()
	return s
}
