package admission

import "time"

// Request asks for a slot at a replica of a service.
type Request struct {
	// ID is unique at the asking router.
	ID uint64
	// Router is the asking router, Incarnation identifies its start: IDs restart with it.
	Router      string
	Incarnation int64
	Service     string
	// Organisation is the customer whose share the request counts against; "" for public
	// routes.
	Organisation string
	// Zone is the availability zone of the asking router.
	Zone string
	// Priority is the priority level; 0 is the most urgent.
	Priority int
	// LatencyTarget is the remaining time within which an answer is in time.
	LatencyTarget time.Duration
	// Deadline is the remaining time after which nobody waits for the answer.
	Deadline time.Duration
	// Fingerprint is the same for each attempt of one client request; 0 if unknown.
	Fingerprint uint64
	// Exclude are replicas that were tried already or that the asking router cannot use.
	Exclude []uint32
}

// State is the outcome of a request.
type State uint8

// The states.
const (
	// Refused requests have no slot and do not wait.
	Refused State = iota
	// Granted requests have a slot at a replica.
	Granted
	// Waiting requests are queued and will be granted a slot or refused.
	Waiting
)

// Reply is a coordinator's reply to a request.
type Reply struct {
	ID          uint64
	Incarnation int64
	State       State
	// Replica is the replica with the slot, if the request is granted.
	Replica uint32
	// RetryAfter is when the client may retry, if the request is refused.
	RetryAfter time.Duration
}

// Decision is the final reply to a request that waited, with the router to send it to.
type Decision struct {
	Router string
	Reply
}

// Usage is what the router observed of the replica while it used a granted slot.
type Usage struct {
	// Replica is 0 if the slot was not used.
	Replica uint32
	// Running, Waiting and Slots are the load that the replica reported in its answer;
	// Slots is 0 if the answer reported none.
	Running, Waiting, Slots int
	// Pace is the replica's slowdown factor, 1 at its usual speed; 0 if the answer
	// reported none.
	Pace float64
	// Took is the time from sending the request to the end of its answer.
	Took time.Duration
	// Failed is set if the answer was an error or did not arrive.
	Failed bool
	// Shed is set if the replica refused the request without running it, as it had no
	// capacity.
	Shed bool
}

// AvailableReplica is a replica that may be used now, with its load.
type AvailableReplica struct {
	// Hash identifies the replica.
	Hash  uint32
	Zone  string
	Slots int
	// Load is the number of requests there as the replica reported it.
	Load int
	// Pace is the replica's slowdown factor, 1 at its usual speed.
	Pace float64
}
