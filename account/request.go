package account

import (
	"strconv"
	"time"

	"peridotusher.example/peridotusher/eventlog"
)

// Outcome classifies how a request ended.
type Outcome string

// The outcomes.
const (
	// InTime answers were complete and within the route's latency objectives.
	InTime Outcome = "in-time"
	// LateStart answers sent their first event later than the route's objective allows.
	LateStart Outcome = "late-start"
	// LatePause streams had a longer pause between two events than the route's objective allows.
	LatePause Outcome = "late-pause"
	// Refused requests did not run, and the router's answer says so.
	Refused Outcome = "refused"
	// Denied requests were invalid or not authorized, so they don't count as lost.
	Denied Outcome = "denied"
	// Failed requests were answered with an error of the replica or the router.
	Failed Outcome = "failed"
	// Truncated answers were truncated.
	Truncated Outcome = "cut"
	// Disconnected requests were abandoned by clients that disconnected.
	Disconnected Outcome = "left"
)

// Request describes a request and its outcome.
type Request struct {
	ID      string
	At      time.Time // of the final answer
	Route   string
	Zone    string // of the router, empty if unknown
	Replica string // that answered, else that of the last failed attempt; empty if none
	Outcome Outcome
	// Cause is a short reason for the outcome, empty if the request was in time.
	Cause string
}

// Requests returns the requests that have a final event in the lines, in the order of these events.
func Requests(lines []eventlog.Line) []Request {
	zones := zonesByProcess(lines)
	failedReplicas := lastFailedReplicas(lines)
	var out []Request
	for _, l := range lines {
		r := Request{ID: l.Fields["id"], At: l.Time, Route: l.Fields["route"], Zone: zones[l.Process], Replica: l.Fields["replica"]}
		if r.ID == "" {
			continue
		}
		switch l.Kind {
		case "answered":
			r.Outcome, r.Cause = classifyAnswered(l.Fields)
		case "denied":
			r.Outcome, r.Cause = classifyDenied(l.Fields)
		case "cut":
			r.Outcome, r.Cause = Truncated, l.Fields["at"]
		case "left":
			r.Outcome, r.Cause = Disconnected, disconnectCause(l.Fields)
		default:
			continue
		}
		if r.Replica == "" {
			r.Replica = failedReplicas[r.ID]
		}
		out = append(out, r)
	}
	return out
}

// zonesByProcess returns the zone of each process, from its start event.
func zonesByProcess(lines []eventlog.Line) map[string]string {
	zones := make(map[string]string)
	for _, l := range lines {
		if zone := l.Fields["zone"]; l.Kind == "start" && zone != "" {
			zones[l.Process] = zone
		}
	}
	return zones
}

// lastFailedReplicas returns the replica of each request's last failed attempt, by request ID.
func lastFailedReplicas(lines []eventlog.Line) map[string]string {
	replicas := make(map[string]string)
	for _, l := range lines {
		if l.Kind == "try" {
			replicas[l.Fields["id"]] = l.Fields["replica"]
		}
	}
	return replicas
}

// The HTTP statuses that decide the outcome.
const (
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusInternalError   = 500
	statusUnavailable     = 503
)

// classifyAnswered returns the outcome and cause of an answer that was forwarded from a replica.
func classifyAnswered(fields map[string]string) (Outcome, string) {
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

// classifyDenied returns the outcome and cause of an answer that the router produced itself.
func classifyDenied(fields map[string]string) (Outcome, string) {
	switch s := status(fields); {
	case s == statusUnavailable, s == statusTooManyRequests, s == statusRequestTimeout:
		return Refused, fields["why"]
	case s < statusInternalError:
		return Denied, fields["why"]
	default:
		return Failed, "router's " + fields["status"] + ", " + fields["why"]
	}
}

// disconnectCause returns what the request was waiting for when its client disconnected.
func disconnectCause(fields map[string]string) string {
	if fields["by"] == "router" {
		return "closed by the router"
	}
	if fields["sends"] == "0" {
		return "before it was sent"
	}
	return "at a replica"
}

// The causes of a late start.
const (
	causeFailedAttempts = "failed tries"
	causeRouterTime     = "the router's own time"
	causeOtherPrompt    = "another prompt's read"
	causePartsRead      = "shared parts read"
	causePartsFetched   = "shared parts fetched"
	causeReplica        = "the replica"
)

// dominantShare is the share of the time to the first event from which a single step counts
// as the cause of a late start.
const dominantShare = 0.5

// startCause returns the step that took most of the time to the first event. A part is a
// prompt prefix that several prompts share.
func startCause(fields map[string]string) string {
	first, waited, own := duration(fields["first"]), duration(fields["waited"]), duration(fields["own"])
	total := first + waited + own
	dominates := func(d time.Duration) bool { return float64(d) >= dominantShare*float64(total) }
	switch {
	case dominates(waited):
		return causeOtherPrompt
	case dominates(own):
		return causeRouterTime
	case fields["sends"] != "1":
		return causeFailedAttempts
	case fields["part"] == "" || fields["reason"] == "holder":
		return causeReplica
	case fields["source"] != "":
		return causePartsFetched
	}
	return causePartsRead
}

func status(fields map[string]string) int {
	n, err := strconv.Atoi(fields["status"])
	if err != nil {
		return 0 // a line without a status does not count as an error
	}
	return n
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0 // the line lacks the field
	}
	return d
}
