package edge

import (
	"slices"
	"time"

	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
)

// sharedQuarantine implements relay.Quarantine with a table that the routers keep alike.
type sharedQuarantine struct{ r *Router }

// Admit implements relay.Quarantine.
func (q sharedQuarantine) Admit(parts []uint64) (left time.Duration, ok bool) {
	return q.r.quarantine.Admit(parts)
}

// Blocked implements relay.Quarantine.
func (q sharedQuarantine) Blocked(parts []uint64) (left time.Duration, blocked bool) {
	return q.r.quarantine.Blocked(parts)
}

// RecordCrash implements relay.Quarantine.
func (q sharedQuarantine) RecordCrash(replica *replicas.Replica, sentAt time.Time, parts []uint64) {
	q.r.publishQuarantine(q.r.quarantine.RecordCrash(replica.Hash(), sentAt, parts), "own")
}

// RecordBegun implements relay.Quarantine.
func (q sharedQuarantine) RecordBegun(parts []uint64) {
	q.r.publishQuarantine(q.r.quarantine.RecordBegun(parts), "own")
}

// trialStagger is the time between the first requests that two routers send on trial after the end
// of a block. A crash is known to all routers before the next one.
const trialStagger = time.Second

// trialDelay returns how long after the end of a block this router sends a request on trial.
func (r *Router) trialDelay(parts []uint64) time.Duration {
	return time.Duration(r.node.Rank("quarantine/"+quarantine.FormatParts(parts))) * trialStagger
}

// mergeQuarantine applies what another router published.
func (r *Router) mergeQuarantine(u quarantine.Update, from string) {
	if !u.IsEmpty() {
		r.publishQuarantine(r.quarantine.Merge(u), from)
	}
}

// publishQuarantine logs the rules if they have changed, and publishes what is new.
func (r *Router) publishQuarantine(news quarantine.Update, from string) {
	if news.IsEmpty() {
		return
	}
	r.logQuarantine(from)
	r.node.PublishQuarantine(news)
}

// logQuarantine logs the rules that are new or have ended since it was called last.
func (r *Router) logQuarantine(from string) {
	rules := r.quarantine.Rules()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(rules) == 0 && len(r.quarantined) == 0 {
		return
	}
	var current []string
	for _, rule := range rules {
		parts := quarantine.FormatParts(rule.Parts())
		current = append(current, parts)
		if !slices.Contains(r.quarantined, parts) {
			r.Log.Event("quarantine", "parts", parts, "active", true, "crashes", rule.Crashes(), "for", rule.Until().Sub(r.clock.Now()), "from", from)
		}
	}
	for _, parts := range r.quarantined {
		if !slices.Contains(current, parts) {
			r.Log.Event("quarantine", "parts", parts, "active", false, "from", from)
		}
	}
	r.quarantined = current
}
