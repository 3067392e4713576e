package account

import (
	"strconv"
	"time"

	"peridotusher.example/peridotusher/eventlog"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// InTime answers were whole and kept the route's objectives.
	InTime Outcome = "in-time"
	// LateStart answers began after the route's objective.
	LateStart Outcome = "late-start"
	// LatePause streams had a longer pause between two events than the route allows.
	LatePause Outcome = "late-pause"
	// Refused requests were told by the router that they have not run.
	Refused Outcome = "refused"
	// Denied requests were not allowed or not proper: nothing was lost.
	Denied Outcome = "denied"
	// Failed requests got an error, the replica's or the router's.
	Failed Outcome = "failed"
	// Cut answers were broken off.
	Cut Outcome = "cut"
	// Left requests were given up by their clients.
	Left Outcome = "left"
)

// Request is a request with what became of it.
type Request struct {
	ID      string
	At      time.Time // of the final answer
	Route   string
	Zone    string // of the router, "" if the logs do not say
	Replica string // that answered, "" if none did
	Outcome Outcome
	// Cause is what the request was lost to, in a word or two; "" if it was in time.
	Cause string
}

// Requests returns the requests that the lines account for, in their order.
func Requests(lines []eventlog.Line) []Request {
	zones := zonesOf(lines)
	tries := triesOf(lines)
	var out []Request
	for _, l := range lines {
		r := Request{ID: l.Fields["id"], At: l.Time, Route: l.Fields["route"], Zone: zones[l.Process], Replica: l.Fields["replica"]}
		if r.ID == "" {
			continue
		}
		switch l.Kind {
		case "answered":
			r.Outcome, r.Cause = answered(l.Fields)
		case "denied":
			r.Outcome, r.Cause = denied(l.Fields)
		case "cut":
			r.Outcome, r.Cause = Cut, l.Fields["at"]
		case "left":
			r.Outcome, r.Cause = Left, left(l.Fields)
		default:
			continue
		}
		if r.Replica == "" {
			r.Replica = tries[r.ID]
		}
		out = append(out, r)
	}
	return out
}

// zonesOf returns the zones of the processes, as their start events say.
func zonesOf(lines []eventlog.Line) map[string]string {
	zones := make(map[string]string)
	for _, l := range lines {
		if zone := l.Fields["zone"]; l.Kind == "start" && zone != "" {
			zones[l.Process] = zone
		}
	}
	return zones
}

// triesOf returns the replica of the last failed try of each request.
func triesOf(lines []eventlog.Line) map[string]string {
	replicas := make(map[string]string)
	for _, l := range lines {
		if l.Kind == "try" {
			replicas[l.Fields["id"]] = l.Fields["replica"]
		}
	}
	return replicas
}

// The statuses by which an answer counts.
const (
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusInternalError   = 500
	statusUnavailable     = 503
)

// answered returns the outcome of an answer that was passed on.
func answered(fields map[string]string) (Outcome, string) {
	if status(fields) >= statusInternalError {
		return Failed, "replica's " + fields["status"]
	}
	switch fields["late"] {
	case "start":
		return LateStart, startCause(fields)
	case "pause":
		return LatePause, "pause of the replica or a lost packet"
	}
	return InTime, ""
}

// denied returns the outcome of an answer of the router's own.
func denied(fields map[string]string) (Outcome, string) {
	switch s := status(fields); {
	case s == statusUnavailable, s == statusTooManyRequests, s == statusRequestTimeout:
		return Refused, fields["why"]
	case s < statusInternalError:
		return Denied, fields["why"]
	default:
		return Failed, "router's " + fields["status"] + ", " + fields["why"]
	}
}

// left returns what a client waited for that left.
func left(fields map[string]string) string {
	if fields["sends"] == "0" {
		return "before it was sent"
	}
	return "at a replica"
}

// The causes of a late start.
const (
	causeTries   = "failed tries"
	causeOwn     = "the router's own time"
	causeWaited  = "another prompt's read"
	causeRead    = "shared parts read"
	causeFetched = "shared parts fetched"
	causeReplica = "the replica"
)

// mostOf is the part of the time to the first event from which one step of it is
// what made the start late.
const mostOf = 0.5

// startCause returns what took most of the time to the first event.
func startCause(fields map[string]string) string {
	first, waited, own := duration(fields["first"]), duration(fields["waited"]), duration(fields["own"])
	total := first + waited + own
	part := func(d time.Duration) bool { return float64(d) >= mostOf*float64(total) }
	switch {
	case part(waited):
		return causeWaited
	case part(own):
		return causeOwn
	case fields["sends"] != "1":
		return causeTries
	case fields["part"] == "" || fields["reason"] == "holder":
		return causeReplica
	case fields["source"] != "":
		return causeFetched
	}
	return causeRead
}

func status(fields map[string]string) int {
	n, err := strconv.Atoi(fields["status"])
	if err != nil {
		return 0 // a line without it counts as whole
	}
	return n
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0 // the line does not say
	}
	return d
}
