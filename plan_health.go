package peridotusher

import (
	"fmt"
	"math"
	"time"

	"peridotusher.example/peridotusher/document"
)

// minHealthRequests is the smallest number of requests for which a version's health
// is evaluated.
const minHealthRequests = 20

// Health summarises a version's recent requests as the routers observed them.
type Health struct {
	Requests   int
	Errors     int
	FirstToken time.Duration // mean time to the first token
}

// ErrorShare returns the share of failed requests.
func (h Health) ErrorShare() float64 {
	if h.Requests == 0 {
		return 0
	}
	return float64(h.Errors) / float64(h.Requests)
}

// plus returns the combined health of both sets of requests.
func (h Health) plus(o Health) Health {
	sum := Health{Requests: h.Requests + o.Requests, Errors: h.Errors + o.Errors}
	if sum.Requests > 0 {
		total := h.FirstToken*time.Duration(h.Requests) + o.FirstToken*time.Duration(o.Requests)
		sum.FirstToken = total / time.Duration(sum.Requests)
	}
	return sum
}

// healthProblem returns why the version's rollout has to pause, or an empty string. The
// version is compared with the model's other versions. Without enough requests to
// those, only its errors are checked.
func healthProblem(policy document.Rollout, mv ModelVersion, health map[ModelVersion]Health) string {
	h := health[mv]
	if h.Requests < minHealthRequests {
		return ""
	}
	var others Health
	for v, o := range health {
		if v.Model == mv.Model && v.Version != mv.Version {
			others = others.plus(o)
		}
	}
	if h.ErrorShare() > others.ErrorShare()+policy.MaxErrorExcess() {
		return fmt.Sprintf("errors %.1f%% against %.1f%%", 100*h.ErrorShare(), 100*others.ErrorShare())
	}
	if others.Requests < minHealthRequests {
		return ""
	}
	if limit := time.Duration(policy.MaxFirstTokenSlowdown() * float64(others.FirstToken)); h.FirstToken > limit {
		return fmt.Sprintf("first token after %v against %v", h.FirstToken, others.FirstToken)
	}
	return ""
}

// overloadedEngine returns the first engine whose work exceeds both its slots and the
// multiple of the load bound that pauses a rollout.
func overloadedEngine(policy document.Policy, model *document.Model, engines []PlannedEngine) (PlannedEngine, bool) {
	total := 0
	for _, e := range engines {
		total += e.Work
	}
	mean := float64(total+1) / float64(max(len(engines), 1))
	limit := policy.Rollout().MaxFirstTokenSlowdown() * math.Ceil(policy.Bound()*mean)
	for _, e := range engines {
		if e.Work > model.Slots() && float64(e.Work) > limit {
			return e, true
		}
	}
	return PlannedEngine{}, false
}
