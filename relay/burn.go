package relay

import (
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
)

// spend counts a request of a route as good, answered whole and in time, or as one
// that spends the error budget. Each counts alike: routes have no worth.
func (t *task) spend(good bool) {
	f := t.front
	if f.Burn == nil || t.route == nil {
		return
	}
	organisation := ""
	if t.organisation != nil {
		organisation = t.organisation.Name
	}
	f.Burn.Record(peridotusher.Outcome{
		Organisation: organisation, Class: f.Metrics.label(t.route.Name), Worth: 1, Objective: f.Share(), Good: good,
	})
}

// lateness says which of the route's objectives an answer with its first event after a
// time did not keep: start, pause, or "" if it is in time.
func (t *task) lateness(first time.Duration) string {
	switch {
	case t.route.Objective > 0 && first > t.route.Objective:
		return "start"
	case t.route.MaxPause > 0 && t.pause > t.route.MaxPause:
		return "pause"
	}
	return ""
}

// routersFault reports whether an answer of the router's own spends the error budget:
// one that the client could not have had better does not.
func routersFault(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}
