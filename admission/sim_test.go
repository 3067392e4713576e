package admission

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// fakeClock is a clock that the simulation sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// The simulated service of the design page, with 100 ms a request on average.
const (
	simReplicas      = 4
	simSlots         = 6
	simServiceTime   = 100 * time.Millisecond
	simLatencyTarget = time.Second
	simDeadline      = 2 * time.Second
	// simCapacity is the number of requests that the replicas serve a second.
	simCapacity = simReplicas * simSlots * float64(time.Second) / float64(simServiceTime)
)

const seed = uint64(1)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simReplica runs requests in its slots and queues the others in order of arrival.
type simReplica struct {
	place   AvailableReplica
	removed bool
	held    int // grants in progress by the queue's decisions
	running []*attempt
	queued  []*attempt
	peak    int // maximum number of requests there
	// inTransit is the number of requests and answers in transit when the queue was restarted.
	inTransit int
}

// client sends a request, and retries it after a refusal as its group does.
type client struct {
	group       *group
	fingerprint uint64
	attempts    []*attempt
	served      bool // in time
}

// honoursRetryAfter reports whether the client retries after the retry-after time.
func (c *client) honoursRetryAfter() bool {
	return float64(c.fingerprint%1000)/1000 < c.group.honourShare
}

// attempt is one request of a client to the queue.
type attempt struct {
	client     *client
	id         uint64
	at         time.Time
	answerBy   time.Time
	state      State
	refusedAt  time.Time
	retryAfter time.Duration
	replica    *simReplica
	grantedAt  time.Time
	sentAt     time.Time // when it was sent to the replica
	canceled   bool
}

// group is a stream of clients of one organisation and priority that behave alike.
type group struct {
	org             string
	priority        int
	latencyTarget   time.Duration                 // simLatencyTarget if 0
	rate            func(t time.Duration) float64 // clients a second
	honourShare     float64                       // share that retries once after the retry-after time
	retries         int                           // number of immediate retries of the others
	disconnectShare float64                       // share that disconnects at a random time while waiting
	clients         []*client
}

// sim is an event simulation of clients, queues and replicas.
type sim struct {
	t           *testing.T
	clock       *fakeClock
	start       time.Time
	rnd         *rand.Rand
	queues      []*Queue // more than one in a partitioned fleet
	events      events
	seq         int
	ids         uint64
	replicas    []*simReplica
	attempts    map[uint64]*attempt
	groups      []*group
	nextCollect time.Time
	// The violations found; late counts grants after the latency target or after Cancel.
	late, overCapacity, idle, outOfOrder int
}

func newSim(t *testing.T, groups ...*group) *sim {
	start := time.Unix(1000, 0)
	s := &sim{
		t: t, clock: &fakeClock{start}, start: start, rnd: rand.New(rand.NewPCG(seed, 2)),
		attempts: map[uint64]*attempt{}, groups: groups,
	}
	s.queues = []*Queue{NewQueue(s.clock)}
	for i := range simReplicas {
		zone := string(rune('a' + i%2))
		s.replicas = append(s.replicas, &simReplica{
			place: AvailableReplica{Hash: uint32(i + 1), Zone: zone, Slots: simSlots, Pace: 1},
		})
	}
	return s
}

func (g *group) target() time.Duration { return cmp.Or(g.latencyTarget, simLatencyTarget) }

func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * simCapacity }
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.clock.now.Add(d), s.seq, run})
}

// networkDelay returns the random delay of a datagram.
func (s *sim) networkDelay() time.Duration {
	return time.Millisecond + time.Duration(s.rnd.IntN(3000))*time.Microsecond
}

// run runs the simulation with clients that arrive for the time d, and then for another 10 s at
// most.
func (s *sim) run(d time.Duration) {
	s.sendReplicasPeriodically()
	for _, g := range s.groups {
		s.addArrivals(g, d)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(s.start) > d+10*time.Second {
			return
		}
		s.clock.now = e.at
		e.run()
	}
}

// sendReplicasPeriodically sends the queues the list of replicas every 100 ms.
func (s *sim) sendReplicasPeriodically() {
	s.sendReplicas()
	s.after(100*time.Millisecond, s.sendReplicasPeriodically)
}

// sendReplicas sends the queues the list of replicas with their present loads.
func (s *sim) sendReplicas() {
	var places []AvailableReplica
	for _, r := range s.replicas {
		if !r.removed {
			p := r.place
			p.Load = len(r.running) + len(r.queued)
			places = append(places, p)
		}
	}
	for _, q := range s.queues {
		q.SetReplicas(places)
	}
	s.collectDecisions()
}

// addArrivals adds clients of the group at random times until d.
func (s *sim) addArrivals(g *group, d time.Duration) {
	const step = 5 * time.Millisecond
	t := s.clock.now.Sub(s.start)
	if t >= d {
		return
	}
	for n := g.rate(t) * step.Seconds(); n > 0; n-- {
		if s.rnd.Float64() >= n {
			continue
		}
		c := &client{group: g, fingerprint: s.rnd.Uint64()}
		g.clients = append(g.clients, c)
		s.after(time.Duration(s.rnd.Int64N(int64(step))), func() { s.startAttempt(c) })
	}
	s.after(step, func() { s.addArrivals(g, d) })
}

func (s *sim) startAttempt(c *client) {
	a := &attempt{client: c, at: s.clock.now, answerBy: s.clock.now.Add(c.group.target())}
	c.attempts = append(c.attempts, a)
	s.submit(a)
}

func (s *sim) submit(a *attempt) {
	s.ids++
	a.id = s.ids
	s.attempts[a.id] = a
	if s.rnd.Float64() < a.client.group.disconnectShare {
		s.after(time.Duration(s.rnd.Int64N(int64(a.client.group.target()))), func() { s.disconnect(a) })
	}
	s.after(s.networkDelay(), func() {
		left := a.answerBy.Sub(s.clock.now)
		r := s.queue(a.id).Submit(Request{
			ID: a.id, Router: "r", Organisation: a.client.group.org, Zone: string(rune('a' + a.id%2)),
			Priority: a.client.group.priority, LatencyTarget: left, Deadline: left + simDeadline - simLatencyTarget,
			Fingerprint: a.client.fingerprint,
		})
		s.reply(a, r)
		s.collectDecisions()
	})
}

// collectDecisions fetches and handles the decisions of the queues, and checks the state then.
func (s *sim) collectDecisions() {
	var wait time.Duration
	for _, q := range s.queues {
		replies, w := q.TakeDecisions()
		if wait == 0 || (w > 0 && w < wait) {
			wait = w
		}
		for _, d := range replies {
			s.reply(s.attempts[d.ID], d.Reply)
		}
	}
	s.checkState()
	at := s.clock.now.Add(wait)
	if wait > 0 && (s.nextCollect.Before(s.clock.now) || at.Before(s.nextCollect)) {
		s.nextCollect = at
		s.after(wait, s.collectDecisions)
	}
}

// queue returns the queue that a request is sent to.
func (s *sim) queue(id uint64) *Queue { return s.queues[int(id)%len(s.queues)] }

// disconnect cancels a request if it waits.
func (s *sim) disconnect(a *attempt) {
	if a.state == Waiting {
		a.canceled = true
		s.queue(a.id).Cancel("r", 0, a.id)
		s.collectDecisions()
	}
}

func (s *sim) reply(a *attempt, r Reply) {
	a.state = r.State
	switch r.State {
	case Granted:
		s.granted(a, r)
	case Refused:
		a.refusedAt, a.retryAfter = s.clock.now, r.RetryAfter
		s.after(s.networkDelay(), func() { s.retryAfterRefusal(a) })
	}
}

func (s *sim) granted(a *attempt, r Reply) {
	if a.canceled || a.state != Granted || !s.clock.now.Before(a.answerBy) {
		s.late++
	}
	a.replica = s.replicas[r.Replica-1]
	for _, other := range s.attempts {
		if s.isOutOfOrder(other, a) {
			s.outOfOrder++
		}
	}
	a.grantedAt = s.clock.now
	a.replica.held++
	s.after(s.networkDelay(), func() { s.send(a) })
}

// isOutOfOrder reports whether a granted request and a waiting one of the same organisation and
// priority are both retries on time, and the granted one was refused later.
func (s *sim) isOutOfOrder(waiting, a *attempt) bool {
	if waiting.state != Waiting || waiting.canceled || !waiting.isOnTimeRetry() || !a.isOnTimeRetry() ||
		waiting.client.group.key() != a.client.group.key() {
		return false
	}
	// The waiting request may have too little time left for a slow replica.
	if waiting.answerBy.Sub(s.clock.now) < time.Duration(2*a.replica.place.Pace*float64(simServiceTime)) {
		return false
	}
	return waiting.client.attempts[0].refusedAt.Before(a.client.attempts[0].refusedAt)
}

// isOnTimeRetry reports whether the attempt is a retry after the retry-after time.
func (a *attempt) isOnTimeRetry() bool {
	c := a.client
	return c.honoursRetryAfter() && len(c.attempts) == 2 && c.attempts[1] == a
}
