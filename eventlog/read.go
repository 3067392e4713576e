package eventlog

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the length of the longest line that is read.
const maxLineBytes = 1 << 20

// Line is one event that was read from a log.
type Line struct {
	Time time.Time `json:"time"`
	// Process is the name of the process that wrote the line.
	Process string            `json:"process"`
	Kind    string            `json:"kind"`
	Fields  map[string]string `json:"fields"`
}

// Read reads the events of a log. The process name of an event is the last word in front of
// it, which a log collector may add; otherwise the router named in the log's start event;
// otherwise process. Lines that are not events are skipped.
func Read(r io.Reader, process string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		prefix, event, ok := cutEvent(scanner.Text())
		if !ok {
			continue
		}
		l, err := parse(event)
		if err != nil {
			continue
		}
		if l.Kind == "start" && len(prefix) == 0 && l.Fields["router"] != "" {
			process = l.Fields["router"]
		}
		l.Process = process
		if len(prefix) > 0 {
			l.Process = prefix[len(prefix)-1]
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "read a log")
}

// cutEvent splits a line into the words in front of an event and the event. ok is false if the
// line holds no event.
func cutEvent(text string) (prefix []string, event string, ok bool) {
	before, after, ok := strings.Cut(text, `time="`)
	return strings.Fields(before), `time="` + after, ok
}

// parse parses an event's key=value pairs, whose values may be quoted as in Go.
func parse(event string) (Line, error) {
	l := Line{Fields: make(map[string]string)}
	for event != "" {
		name, rest, ok := strings.Cut(event, "=")
		if !ok {
			return l, errors.Newf("field without a value: %q", event)
		}
		value := rest
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				return l, errors.Wrap(err, "malformed quoted value")
			}
			if value, err = strconv.Unquote(quoted); err != nil {
				return l, errors.Wrap(err, "unquote value")
			}
			rest = rest[len(quoted):]
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		l.Fields[name] = value
		event = strings.TrimLeft(rest, " ")
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	if err != nil {
		return l, errors.Wrap(err, "parse the time of an event")
	}
	l.Time, l.Kind = at, l.Fields["msg"]
	for _, name := range []string{"time", "level", "msg"} {
		delete(l.Fields, name)
	}
	return l, nil
}

// Events that changed what a router knew of replicas or dependencies are included in a
// request's timeline from timelineBefore before the request's first line until timelineAfter
// after its last.
const (
	timelineBefore = 5 * time.Second
	timelineAfter  = time.Second
)

// RequestTimeline returns the timeline of a request: its own events, and those of the same processes
// that changed what they knew of the replicas that it was sent to, of the configuration or
// of their dependencies. It returns nil if the log has no event of the request.
func RequestTimeline(lines []Line, id string) []Line {
	var first, last time.Time
	processes := make(map[string]bool)
	replicas := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["id"] != id {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		processes[l.Process] = true
		if r := l.Fields["replica"]; r != "" {
			replicas[r] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	var timeline []Line
	for _, l := range lines {
		near := processes[l.Process] && l.Time.After(first.Add(-timelineBefore)) &&
			l.Time.Before(last.Add(timelineAfter))
		if l.Fields["id"] == id || near && l.changesRoutingState(replicas) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
	return timeline
}

// changesRoutingState reports whether the event changed what its process knew of one of the
// replicas, or of something that all requests depend on.
func (l *Line) changesRoutingState(replicas map[string]bool) bool {
	switch l.Kind {
	case "replica", "ejected":
		return replicas[l.Fields["replica"]]
	case "lost", "regained":
		return l.Fields["dependency"] == "store" || replicas[l.Fields["replica"]]
	case "replicas", "configuration", "start", "stopping", "stop", "reload", "standstill", "dropped",
		"epoch", "copy", "delegated":
		return true
	case "backoff", "cold", "warm":
		return true // a request refused because of these was sent to no replica
	}
	return false
}
