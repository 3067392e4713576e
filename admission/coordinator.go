package admission

import (
	"context"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// refreshInterval is the interval at which the replicas of a service are refreshed while
	// there are requests.
	refreshInterval = 100 * time.Millisecond
	// minStepInterval is the minimum time between two steps of Run.
	minStepInterval = time.Millisecond
	// maxServices bounds the services that have a queue. At the bound, a service without
	// requests for idleTimeout may be replaced by another one.
	maxServices = 256
	idleTimeout = 10 * time.Second
	// stopRetryAfter is the retry-after time in the refusals of a stopping coordinator: by
	// then another router is the coordinator. All other refusals have a longer time.
	stopRetryAfter = 100 * time.Millisecond
)

// ServiceQueue orders the requests for the replicas of one service, as Queue does.
type ServiceQueue interface {
	// SetReplicas sets the replicas that may be used.
	SetReplicas(places []AvailableReplica)
	// Submit grants a request a slot, queues it or refuses it.
	Submit(r Request) Reply
	// Release ends a granted request.
	Release(router string, incarnation int64, id uint64, u Usage)
	// Cancel ends a waiting request, or a granted one whose slot is not used.
	Cancel(router string, incarnation int64, id uint64)
	// TakeDecisions returns the new decisions on requests that waited, and the time until the next
	// call; 0 if none is needed.
	TakeDecisions() (decisions []Decision, wait time.Duration)
	// Stop refuses the waiting requests.
	Stop() []Decision
}

// Coordinator grants requests of all routers slots at the replicas of services. Its fields are
// set before use. It is safe for concurrent use.
type Coordinator struct {
	Clock peridotusher.Clock
	// Replicas returns the replicas of a service that may be used now.
	Replicas func(service string) []AvailableReplica
	// Send sends a router the reply to a request that waited. It must not block.
	Send func(router string, r Reply)
	// NewQueue returns an empty queue for a service. If it is nil, the coordinator decides
	// nothing.
	NewQueue func() ServiceQueue
	Log      Log

	once sync.Once
	wake chan struct{}

	mu       sync.Mutex
	services map[string]*service
	stopped  bool
	nextStep time.Time // scheduled time of the next step; zero if nothing is pending
	stats    CoordinatorStats
}

// service holds the queue of a service and the requests that the coordinator knows.
type service struct {
	queue        ServiceQueue
	requests     *requestTable
	lastUsed     time.Time
	lastRefresh  time.Time
	nextDecision time.Time // when the queue decides next; zero if no request waits
}

// Submit decides on a request of a router. It returns false if it cannot decide: the reply
// then is a refusal without a retry-after time, and the router chooses the replica itself. A
// request that is submitted again gets its latest reply.
func (c *Coordinator) Submit(r Request) (Reply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if c.stopped {
		return refusal(r, stopRetryAfter), true
	}
	s := c.findOrAddService(now, r.Service)
	if s == nil {
		return refusal(r, 0), false
	}
	k := requestKey{r.Router, r.Incarnation, r.ID}
	if reply, known := s.requests.find(k); known {
		return reply, true
	}
	if len(s.requests.open) >= maxOpenRequests {
		return refusal(r, 0), false
	}
	c.refreshReplicas(now, r.Service, s)
	reply := s.queue.Submit(r)
	reply.ID, reply.Incarnation = r.ID, r.Incarnation
	s.requests.recordSubmit(now, k, r, reply)
	c.stats.count(reply.State)
	if s.requests.waiting > 0 { // a new request may change the decisions on others
		s.nextDecision = now
	}
	c.schedule(s)
	return reply, true
}

func refusal(r Request, after time.Duration) Reply {
	return Reply{ID: r.ID, Incarnation: r.Incarnation, State: Refused, RetryAfter: after}
}

// Release ends a granted request. It ignores unknown requests, such as requests from before a
// restart of their router or of the coordinator.
func (c *Coordinator) Release(service, router string, incarnation int64, id uint64, u Usage) {
	c.endRequest(service, requestKey{router, incarnation, id}, func(q ServiceQueue) {
		q.Release(router, incarnation, id, u)
	})
}

// Cancel ends a waiting request, or a granted one whose slot is not used.
func (c *Coordinator) Cancel(service, router string, incarnation int64, id uint64) {
	c.endRequest(service, requestKey{router, incarnation, id}, func(q ServiceQueue) {
		q.Cancel(router, incarnation, id)
	})
}

func (c *Coordinator) endRequest(service string, k requestKey, notify func(q ServiceQueue)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[service]
	if !ok {
		return
	}
	s.lastUsed = c.Clock.Now()
	if !s.requests.end(k, Reply{ID: k.id, Incarnation: k.incarnation}) {
		return
	}
	notify(s.queue)
	if s.requests.waiting > 0 {
		s.nextDecision = s.lastUsed
	}
	c.schedule(s)
}

// Stop makes the coordinator refuse the waiting requests and all later ones.
func (c *Coordinator) Stop() { c.sendDecisions(c.stopQueues()) }

func (c *Coordinator) stopQueues() []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	var out []Decision
	for _, s := range c.services {
		decisions := s.queue.Stop()
		for i := range decisions {
			decisions[i].State, decisions[i].RetryAfter = Refused, stopRetryAfter
		}
		out = append(out, c.recordDecisions(s, decisions)...)
		s.nextDecision = time.Time{}
	}
	return out
}

// Run decides on waiting requests until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.wakeSignal():
		}
		wait := c.step()
		timer.Stop()
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// step makes the pending decisions, sends them and returns the time until the next step; 0 if
// nothing is pending.
func (c *Coordinator) step() time.Duration {
	decisions, wait := c.decideDue()
	c.sendDecisions(decisions)
	return wait
}

func (c *Coordinator) sendDecisions(decisions []Decision) {
	for _, d := range decisions {
		c.Send(d.Router, d.Reply)
	}
}

// decideDue expires leases, takes the decisions of each queue whose scheduled time has come,
// and schedules the next step.
func (c *Coordinator) decideDue() (decisions []Decision, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.nextStep = time.Time{}
	for name, s := range c.services {
		c.expireLeases(now, name, s)
		if !s.nextDecision.IsZero() && !now.Before(s.nextDecision) {
			decisions = append(decisions, c.decide(now, name, s)...)
		}
		if next := s.nextStep(); !next.IsZero() && (c.nextStep.IsZero() || next.Before(c.nextStep)) {
			c.nextStep = next
		}
	}
	if c.nextStep.IsZero() {
		return decisions, 0
	}
	return decisions, max(c.nextStep.Sub(now), minStepInterval)
}

// decide takes the decisions of a service's queue on waiting requests, and schedules the next
// time.
func (c *Coordinator) decide(now time.Time, name string, s *service) []Decision {
	c.refreshReplicas(now, name, s)
	decisions, wait := s.queue.TakeDecisions()
	decisions = c.recordDecisions(s, decisions)
	s.nextDecision = time.Time{}
	if s.requests.waiting == 0 {
		return decisions
	}
	if wait <= 0 {
		wait = refreshInterval
	}
	s.nextDecision = now.Add(min(max(wait, minStepInterval), refreshInterval))
	return decisions
}

// recordDecisions records the decisions of a queue, and returns the decisions on requests that
// still waited.
func (c *Coordinator) recordDecisions(s *service, decisions []Decision) []Decision {
	var out []Decision
	for _, d := range decisions {
		if s.requests.recordDecision(requestKey{d.Router, d.Incarnation, d.ID}, d.Reply) {
			c.stats.count(d.State)
			out = append(out, d)
		}
	}
	return out
}

// expireLeases cancels the requests of a service whose leases have ended.
func (c *Coordinator) expireLeases(now time.Time, name string, s *service) {
	for _, k := range s.requests.takeExpired(now) {
		s.requests.end(k, Reply{ID: k.id, Incarnation: k.incarnation})
		s.queue.Cancel(k.router, k.incarnation, k.id)
		c.stats.Expired++
		c.Log.Event("lease", "service", name, "router", k.router, "request", k.id)
		if s.requests.waiting > 0 {
			s.nextDecision = now
		}
	}
}

// nextStep returns the time of the next decision or end of a lease; zero if nothing is pending.
func (s *service) nextStep() time.Time {
	lease := s.requests.earliestLeaseExpiry
	if s.nextDecision.IsZero() || !lease.IsZero() && lease.Before(s.nextDecision) {
		return lease
	}
	return s.nextDecision
}

// schedule wakes Run if the service needs a step before the scheduled one. c.mu is held.
func (c *Coordinator) schedule(s *service) {
	next := s.nextStep()
	if next.IsZero() || !c.nextStep.IsZero() && !next.Before(c.nextStep) {
		return
	}
	c.nextStep = next
	select {
	case c.wakeSignal() <- struct{}{}:
	default: // a wake-up is pending already
	}
}

func (c *Coordinator) wakeSignal() chan struct{} {
	c.once.Do(func() { c.wake = make(chan struct{}, 1) })
	return c.wake
}

// refreshReplicas updates the replicas of the queue, at most once every refreshInterval.
func (c *Coordinator) refreshReplicas(now time.Time, name string, s *service) {
	s.lastUsed = now
	if now.Sub(s.lastRefresh) < refreshInterval {
		return
	}
	s.lastRefresh = now
	s.queue.SetReplicas(c.Replicas(name))
}

// findOrAddService returns the service with the name; nil if no replica of it is known or if
// there are too many services. c.mu is held.
func (c *Coordinator) findOrAddService(now time.Time, name string) *service {
	if s, ok := c.services[name]; ok {
		return s
	}
	if c.NewQueue == nil {
		return nil
	}
	available := c.Replicas(name)
	if len(available) == 0 || !c.canAddService(now) {
		return nil
	}
	s := &service{queue: c.NewQueue(), requests: newRequestTable(), lastRefresh: now}
	s.queue.SetReplicas(available)
	if c.services == nil {
		c.services = make(map[string]*service)
	}
	c.services[name] = s
	return s
}

// canAddService reports whether one more service may have a queue. At the bound it first removes
// the idle services.
func (c *Coordinator) canAddService(now time.Time) bool {
	if len(c.services) < maxServices {
		return true
	}
	for name, s := range c.services {
		if len(s.requests.open) == 0 && now.Sub(s.lastUsed) > idleTimeout {
			delete(c.services, name)
		}
	}
	return len(c.services) < maxServices
}
