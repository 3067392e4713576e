package edge

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/budget"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/overload"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/relay"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
	"peridotusher.example/peridotusher/slowstart"
)

const (
	// keepAliveTimeout is how long clients may reuse idle connections. Together with the
	// retransmissions of dropped packets it is shorter than rotationExitDelay, so that no request
	// is in transit on a connection that a stop closes.
	keepAliveTimeout = 2 * time.Second
	// housekeepingInterval is the interval at which outdated state is removed.
	housekeepingInterval = 250 * time.Millisecond
	// stopCheckInterval is the interval at which a stopping router counts the zone's routers.
	stopCheckInterval = 50 * time.Millisecond
	// minCountsTTL is how long the counts of a silent router remain valid in a small fleet. In a
	// large one they remain valid for countsTTLRounds rounds of heartbeats.
	minCountsTTL    = 1500 * time.Millisecond
	countsTTLRounds = 3
	// reportsCoverThreshold is the duration of a round of heartbeats above which the counts of
	// other routers are more outdated than the loads that replicas report.
	reportsCoverThreshold = 600 * time.Millisecond
	// indexCoverThreshold is the duration of a round of heartbeats above which routers query the
	// holders of a part instead of publishing every placement to all.
	indexCoverThreshold = 5 * time.Second
	// bodyMemoryDivisor limits request bodies to this fraction of the host's memory: one in six.
	bodyMemoryDivisor = 6
	// answerMemoryDivisor does the same for answers that slow clients have not read yet.
	answerMemoryDivisor = 8
	// headMemoryDivisor does the same for the heads of requests.
	headMemoryDivisor = 8
	megabyte          = 1 << 20
)

// Router is one router process. Its fields are set before Run.
type Router struct {
	Settings *Settings
	// SettingsPath is the settings file, which is watched for changes; "" for none.
	SettingsPath string
	// Hangup receives a signal when the settings file has changed; nil for no signals.
	Hangup <-chan os.Signal

	Source Source
	// Discovery lets routers find each other if their seeds are down; nil for seeds only.
	Discovery Discovery
	// Decode parses the source text of a configuration.
	Decode  func(source []byte) (*routing.Document, error)
	Dialect relay.Dialect
	// SharesCapacity reports whether contracts of the platform require shared admission for all
	// plain services; nil if none does.
	SharesCapacity func(contracts []string) bool
	Log            relay.Log
	// MetricsAddress is the address on which metrics are served; "" for none.
	MetricsAddress string
	// TimeOfDay identifies the start of the router to others and in the report; nil for the
	// host's clock. Nothing else depends on it, so it may jump.
	TimeOfDay peridotusher.Clock

	clock        *Clock
	current      *routing.Current
	table        *replicas.Table
	directory    *placing.Directory
	reads        *placing.Reads
	quarantine   *quarantine.Table
	rateLimits   *ratelimit.Table
	rateLimiter  *ratelimit.Limiter
	node         *mesh.Node
	proxy        *relay.Proxy
	pool         *relay.Pool
	metricSet    *metrics.Set
	burn         *peridotusher.Burn
	slowStart    *slowstart.Limiter
	coldReplicas coldTracker
	startedAt    time.Time // time of day
	// coordinator grants slots to the requests of all routers, and newQueue returns its queue for
	// one service. admission requests slots for this router's requests.
	coordinator *admission.Coordinator
	newQueue    func() admission.ServiceQueue
	admission   *admission.Client
	lists       listTracker
	stalls      stallDetector
	epoch       epochTracker
	// delegated receives a hop count when another router cannot read the list of replicas.
	delegated chan int
	hasList   atomic.Bool
	// settled is whether the router knows which parts replicas held before it started.
	settled     atomic.Bool
	configCheck configurationCheck
	stopping    atomic.Pointer[shutdown]
	bounds      atomic.Pointer[boundSection]

	mu           sync.Mutex
	failingCalls map[string]bool // kinds of store calls whose last call failed
	loggedKeys   map[string]bool // malformed keys that were logged
	quarantined  []string        // parts of the quarantine's rules as logged last
	limitsSentAt time.Time       // when a heartbeat last named request rates
}

// Run serves until ctx ends and then stops gracefully.
func (r *Router) Run(ctx context.Context) error {
	r.init()
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, run := errgroup.WithContext(run)
	clients, err := r.listen(run, group)
	if err != nil {
		stop()
		return errors.CombineErrors(err, group.Wait())
	}
	accepting, stopAccepting := context.WithCancel(run)
	defer stopAccepting()
	group.Go(func() error {
		defer stop() // the router stays current until the last request has been answered
		return r.proxy.Run(accepting, clients, r.remainingGrace)
	})
	group.Go(func() error { return r.followConfiguration(run) })
	group.Go(func() error { return r.followReplicas(run) })
	group.Go(func() error { return r.learnParts(run) })
	group.Go(func() error { return r.runHousekeeping(run) })
	group.Go(func() error { return r.followSettings(run) })
	group.Go(func() error { return r.discover(run) })
	group.Go(func() error { return r.coordinator.Run(run) })
	r.Log.Event("start", "router", r.Settings.Name(), "zone", r.Settings.router.zone)
	select {
	case <-ctx.Done():
		r.stop()
		stopAccepting()
	case <-run.Done():
	}
	err = group.Wait()
	r.pool.Close()
	r.Log.Event("stop", "router", r.Settings.Name(), "error", err)
	return err
}

func (r *Router) init() {
	s := r.Settings
	r.clock = NewClock()
	r.stalls.tick(r.clock.Now())
	r.startedAt = r.timeOfDay()
	r.delegated = make(chan int, 1)
	r.current = routing.NewCurrent()
	r.table = replicas.NewTable(r.clock)
	r.table.SetColdDuration(r.coldDuration)
	r.pool = relay.NewPool(r.clock)
	r.metricSet = metrics.NewSet()
	r.burn = peridotusher.NewBurn(r.clock, maxBurnSeries)
	r.registerMetrics()
	r.failingCalls = make(map[string]bool)
	r.loggedKeys = make(map[string]bool)
	port := strconv.Itoa(s.peers.ports[0])
	r.node = &mesh.Node{
		Self: mesh.Member{
			Name: s.router.name, Zone: s.router.zone,
			Address: net.JoinHostPort(s.peers.address, port), Incarnation: newIncarnation(r.startedAt),
		},
		State: state{r}, Clock: r.clock, Log: r.Log,
	}
	r.directory = placing.NewDirectory(r.clock, placing.Origin{Name: s.router.name, Incarnation: r.node.Self.Incarnation})
	r.reads = placing.NewReads(r.clock)
	r.quarantine = quarantine.NewTable(r.clock)
	r.quarantine.TrialDelay = r.trialDelay
	r.node.Init()
	r.lists.start(r.clock.Now(), r.node.RendezvousScore(listTopic))
	r.node.SetSeeds(r.seeds(s))
	r.bounds.Store(&s.bounds)
	r.initRateLimits()
	r.slowStart = &slowstart.Limiter{Bound: r.coldBound, Share: r.node.SharePosition}
	retryBudget := budget.New(budget.Config{Ratio: s.bounds.retryRatio, Window: s.bounds.retryWindow, Extra: s.bounds.retryExtra}, r.clock)
	r.proxy = &relay.Proxy{
		Zone: s.router.zone, Regions: s.router.regions, Clock: r.clock, Current: r.current, Table: r.table, Dialect: r.Dialect,
		RetryBudget: retryBudget, Pool: r.pool, Log: r.Log, Metrics: relay.NewMetrics(r.metricSet), Routers: r.node.RouterCount,
		SlowStart: r.slowStart, RateLimit: r.rateLimiter, RecordRate: r.recordRate, Burn: r.burn, SuccessTarget: func() float64 { return r.bounds.Load().successTarget },
		Quarantine: sharedQuarantine{r}, Directory: r.directory, Reads: r.reads, BroadcastReads: r.node.Broadcast, MarkLeaving: r.markLeaving,
		CacheHolders: r.queryHolders, PublishPlacements: r.publishPlacements,
		DrainTime:     func() time.Duration { return r.bounds.Load().drainTime },
		Registry:      &registry{router: r},
		MaxLoadFactor: s.bounds.maxLoadFactor, Gate: overload.NewGate(r.clock),
		BodyMemory:     s.MemoryBytes() / bodyMemoryDivisor,
		HeadMemory:     s.MemoryBytes() / headMemoryDivisor,
		AnswerMemory:   s.MemoryBytes() / answerMemoryDivisor,
		MaxConnections: s.router.maxFiles / 2, KeepAliveTimeout: keepAliveTimeout,
	}
	r.initAdmission()
}

// seeds returns the heartbeat addresses of the seeds: all routers use the first port.
func (r *Router) seeds(s *Settings) []string {
	var out []string
	for _, seed := range s.peers.seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.Log.Event("seed", "address", seed, "error", err)
			continue
		}
		out = append(out, net.JoinHostPort(host, strconv.Itoa(s.peers.ports[0])))
	}
	return out
}

// remainingGrace is the time for requests in flight once the proxy accepts no more connections.
func (r *Router) remainingGrace() time.Duration {
	if s := r.stopping.Load(); s != nil {
		return s.remaining(r.clock.Now())
	}
	return stopDuration(r.bounds.Load().stopGrace) // closed because of a failure
}

// stop takes the router out of the rotation and waits until no new connections arrive.
func (r *Router) stop() {
	s := newShutdown(r.clock.Now(), r.bounds.Load().stopGrace, r.node.CountZone())
	r.stopping.Store(s)
	r.proxy.Stop(s.stopPolicy())
	r.node.Broadcast()
	r.coordinator.Stop()
	r.Log.Event("stopping", "router", r.Settings.Name(), "active", r.proxy.Active(), "ready", s.inRotation(s.startedAt))
	for now := s.startedAt; !s.done(now); now = r.clock.Now() {
		zone := r.node.CountZone()
		if needed, changed := s.update(now, zone); changed {
			r.Log.Event("needed", "still", needed, "ready", zone.Ready, "all", zone.All)
		}
		time.Sleep(stopCheckInterval)
	}
	r.Log.Event("closing", "active", r.proxy.Active(), "after", r.clock.Now().Sub(s.startedAt))
}

// Ready reports whether the router may receive client connections.
func (r *Router) Ready() bool {
	s := r.stopping.Load()
	return r.current.Load() != nil && r.hasList.Load() && (s == nil || s.inRotation(r.clock.Now()))
}

// runHousekeeping removes outdated state until ctx ends.
func (r *Router) runHousekeeping(ctx context.Context) error {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		r.countWakeUp("house")
		if gap := r.clock.Adjust(); gap > 0 {
			r.slowStart.DelayAll(r.clock.Now())
			r.Log.Event("standstill", "length", gap)
		}
		r.stalls.tick(r.clock.Now())
		cover := r.node.CoverTime()
		r.table.SetUsesReports(cover > reportsCoverThreshold)
		r.directory.SetIndexed(cover > indexCoverThreshold)
		r.table.Expire(max(minCountsTTL, countsTTLRounds*cover))
		r.pool.Prune()
		r.quarantine.Expire()
		r.expireLimits()
		r.logQuarantine("clock")
		r.trackColdReplicas()
	}
}

// recordStoreCall counts a call to the store and logs when calls of its kind begin to fail or to
// succeed again.
func (r *Router) recordStoreCall(call string, err error) {
	r.countStoreCall(call, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if (err != nil) == r.failingCalls[call] {
		return
	}
	r.failingCalls[call] = err != nil
	if err != nil {
		r.Log.Event("lost", "dependency", "store", "call", call, "error", err)
		return
	}
	r.Log.Event("regained", "dependency", "store", "call", call)
}

// logMalformedKeys logs unusable keys, each once.
func (r *Router) logMalformedKeys(keys []string) {
	for _, key := range keys {
		r.logMalformedKey(key)
	}
}

// logMalformedKey logs an unusable key once.
func (r *Router) logMalformedKey(key string) {
	const maxLoggedKeys = 1000
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loggedKeys[key] || len(r.loggedKeys) >= maxLoggedKeys {
		return
	}
	r.loggedKeys[key] = true
	r.Log.Event("malformed", "key", key)
}
