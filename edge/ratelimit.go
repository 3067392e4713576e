package edge

import (
	"time"

	"peridotusher.example/peridotusher/ratelimit"
)

// limitsInterval is the time between two heartbeats that name request rates. News are forwarded at
// once; heartbeats only repeat them for routers that missed some.
const limitsInterval = time.Second

// initRateLimits sets up the limits for the request rates that replicas state.
func (r *Router) initRateLimits() {
	r.rateLimits = ratelimit.NewTable(r.clock)
	r.rateLimiter = &ratelimit.Limiter{Table: r.rateLimits, Clock: r.clock, Share: r.node.SharePosition}
	r.metricSet.NewGauge("peridotusher_limited_replicas", func() float64 { return float64(r.rateLimits.Limits()) })
}

// recordRate records what an answer says about the request rate that its replica accepts.
func (r *Router) recordRate(a ratelimit.Answer) { r.publishLimits("own", r.rateLimits.Record(a)) }

// mergeLimits applies request rates that another router published.
func (r *Router) mergeLimits(from string, limits []ratelimit.Statement) {
	r.publishLimits(from, r.rateLimits.Merge(limits))
}

// dueLimits returns the request rates for a heartbeat, which are sent once in limitsInterval.
func (r *Router) dueLimits() []ratelimit.Statement {
	now := r.clock.Now()
	r.mu.Lock()
	due := now.Sub(r.limitsSentAt) >= limitsInterval
	if due {
		r.limitsSentAt = now
	}
	r.mu.Unlock()
	if !due {
		return nil
	}
	return r.rateLimits.Recent(maxLimits)
}

// publishLimits logs request rates that are new to this router, and publishes them.
func (r *Router) publishLimits(from string, news []ratelimit.Statement) {
	for _, s := range news {
		r.logLimit(s, from)
	}
	r.node.PublishLimits(news)
}

// logLimit logs a limit or its end.
func (r *Router) logLimit(s ratelimit.Statement, from string) {
	replica, ok := r.table.Find(s.Replica)
	if !ok {
		return // it has left, or this router does not know it yet
	}
	r.Log.Event("limit", "replica", replica.ID(), "service", replica.Service(), "active", s.Limited, "rate", s.Rate, "age", s.Age, "from", from)
}

// expireLimits removes limits that no answer has stated for long.
func (r *Router) expireLimits() {
	for _, replica := range r.rateLimits.Expire() {
		r.logLimit(ratelimit.Statement{Replica: replica}, "clock")
	}
	r.rateLimiter.Expire()
}
