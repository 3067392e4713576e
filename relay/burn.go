package relay

import (
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
)

// recordOutcome counts a request against the error budget: good means answered completely and in
// time. All requests have the same weight, whatever their route.
func (t *task) recordOutcome(good bool) {
	f := t.proxy
	if f.Burn == nil || t.route == nil {
		return
	}
	organisation := ""
	if t.organisation != nil {
		organisation = t.organisation.Name
	}
	f.Burn.Record(peridotusher.Outcome{
		Organisation: organisation, Class: f.Metrics.routeLabel(t.route.Name), Value: 1, Objective: f.SuccessTarget(), Good: good,
	})
}

// lateness returns the objective of the route that the answer missed, with first the time to its
// first event: start, pause, or "" if none.
func (t *task) lateness(first time.Duration) string {
	switch {
	case t.route.Objective > 0 && first > t.route.Objective:
		return "start"
	case t.route.MaxPause > 0 && t.longestPause > t.route.MaxPause:
		return "pause"
	}
	return ""
}

// countsAsBad reports whether an answer of the router's own counts against the error budget.
// Answers that are the client's fault do not.
func countsAsBad(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}
