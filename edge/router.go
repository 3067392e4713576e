package edge

import (
	"context"
	"net"
	"net/http"
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
	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/overload"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/relay"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
	"peridotusher.example/peridotusher/slowstart"
)

const (
	// reuse is how long clients may use idle connections again. With retransmissions of
	// dropped packets it is below outOfRotation, so that no request is on its
	// way on a connection that a stop closes.
	reuse = 2 * time.Second
	// houseEvery is the time between two rounds of housekeeping.
	houseEvery = 250 * time.Millisecond
	// leaveEvery is the time between two looks at the zone's routers while stopping.
	leaveEvery = 50 * time.Millisecond
	// countsLeast is how long the counts of a silent router are believed in a
	// small fleet, countsRounds in how many rounds of heartbeats it may be missed.
	countsLeast  = 1500 * time.Millisecond
	countsRounds = 3
	// reportsCover is the time of a round of heartbeats from which other routers' counts
	// are older than what replicas report.
	reportsCover = 600 * time.Millisecond
	// indexCover is the same from which routers ask for the holders of a part instead
	// of publishing every placement to all.
	indexCover = 5 * time.Second
	// bodyPart is the part of the host's memory for request bodies: one in so many.
	bodyPart = 6
	// answerPart is the same for answers that clients do not read in time.
	answerPart = 8
	megabyte   = 1 << 20
	// readyTime bounds a readiness question.
	readyTime = 2 * time.Second
)

// Router is one router process. Its fields are set before Run.
type Router struct {
	Settings *Settings
	// Path is the settings' file, which is looked at for changes; "" for none.
	Path   string
	Source Source
	// Decode decodes the source of a configuration.
	Decode  func(source []byte) (*routing.Document, error)
	Dialect relay.Dialect
	// SharesCapacity reports whether contracts of the platform call for shared admission to
	// all plain services; nil if none does.
	SharesCapacity func(contracts []string) bool
	Log            relay.Log
	// Metrics is the address of the counters; "" for none.
	Metrics string
	// TimeOfDay names the start of the router to others and in the report; nil for that of the host.
	// Nothing else depends on it, so that it may be stepped.
	TimeOfDay peridotusher.Clock

	clock     *Clock
	current   *routing.Current
	table     *replicas.Table
	directory *placing.Directory
	reads     *placing.Reads
	node      *mesh.Node
	front     *relay.Proxy
	pool      *relay.Pool
	set       *metrics.Set
	burn      *peridotusher.Burn
	slowStart *slowstart.Limiter
	cold      coldWatch
	started   time.Time // by the time of day
	// coordinator grants slots to the requests of all routers, newQueue returns the queue
	// of one service; admission requests slots for this router's requests.
	coordinator *admission.Coordinator
	newQueue    func() admission.ServiceQueue
	admission   *admission.Client
	reading     reading
	epoch       epoch
	// delegated receives a hop count when another router cannot read the list.
	delegated chan int
	listed    atomic.Bool
	// settled is whether the router knows what replicas held before it started.
	settled  atomic.Bool
	checked  checked
	stopping atomic.Pointer[leave]
	bounds   atomic.Pointer[boundSection]

	mu       sync.Mutex
	trouble  map[string]bool // calls of the store that fail
	reported map[string]bool // malformed entries
}

// Run serves until ctx ends and then stops gracefully.
func (r *Router) Run(ctx context.Context) error {
	r.init()
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, run := errgroup.WithContext(run)
	if err := r.listen(run, group); err != nil {
		stop()
		return errors.CombineErrors(err, group.Wait())
	}
	group.Go(func() error { return r.followConfiguration(run) })
	group.Go(func() error { return r.followReplicas(run) })
	group.Go(func() error { return r.settle(run) })
	group.Go(func() error { return r.keepHouse(run) })
	group.Go(func() error { return r.followSettings(run) })
	group.Go(func() error { return r.coordinator.Run(run) })
	r.Log.Event("start", "router", r.Settings.Name(), "zone", r.Settings.router.zone)
	select {
	case <-ctx.Done():
		r.stop()
		stop()
	case <-run.Done():
	}
	err := group.Wait()
	r.pool.Close()
	r.Log.Event("stop", "router", r.Settings.Name(), "error", err)
	return err
}

func (r *Router) init() {
	s := r.Settings
	r.clock = NewClock()
	r.started = r.timeOfDay()
	r.delegated = make(chan int, 1)
	r.current = routing.NewCurrent()
	r.table = replicas.NewTable(r.clock)
	r.table.SetColdDuration(r.coldFor)
	r.pool = relay.NewPool(r.clock)
	r.set = metrics.NewSet()
	r.burn = peridotusher.NewBurn(r.clock, burnSeries)
	r.countState()
	r.trouble = make(map[string]bool)
	r.reported = make(map[string]bool)
	port := strconv.Itoa(s.peers.ports[0])
	r.node = &mesh.Node{
		Self: mesh.Member{
			Name: s.router.name, Zone: s.router.zone,
			Address: net.JoinHostPort(s.peers.address, port), Incarnation: newIncarnation(r.started),
		},
		State: state{r}, Clock: r.clock, Log: r.Log,
	}
	r.directory = placing.NewDirectory(r.clock, placing.Origin{Name: s.router.name, Incarnation: r.node.Self.Incarnation})
	r.reads = placing.NewReads(r.clock)
	r.node.Init()
	r.reading.start(r.clock.Now(), r.node.RendezvousScore(listTopic))
	r.node.SetSeeds(r.seeds(s))
	r.bounds.Store(&s.bounds)
	r.slowStart = &slowstart.Limiter{Bound: r.coldBound, Share: r.node.SharePosition}
	shared := budget.New(budget.Config{Ratio: s.bounds.ratio, Window: s.bounds.window, Extra: s.bounds.extra}, r.clock)
	r.front = &relay.Proxy{
		Zone: s.router.zone, Regions: s.router.regions, Clock: r.clock, Current: r.current, Table: r.table, Dialect: r.Dialect,
		RetryBudget: shared, Pool: r.pool, Log: r.Log, Metrics: relay.NewMetrics(r.set), Routers: r.node.RouterCount,
		SlowStart: r.slowStart, Burn: r.burn, SuccessTarget: func() float64 { return r.bounds.Load().share },
		Directory: r.directory, Reads: r.reads, BroadcastReads: r.node.Broadcast, MarkLeaving: r.leaves, CacheHolders: r.queryHolders, PublishPlacements: r.publishPlacements, MaxLoadFactor: s.bounds.multiple, Gate: overload.NewGate(r.clock),
		BodyMemory: int64(s.router.memory) * megabyte / bodyPart, AnswerMemory: int64(s.router.memory) * megabyte / answerPart, MaxConnections: s.router.files / 2, KeepAliveTimeout: reuse,
	}
	r.initAdmission()
}

// seeds returns where the seeds listen for heartbeats: all routers use the first port.
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

// listen opens the sockets and starts what serves them.
func (r *Router) listen(ctx context.Context, group *errgroup.Group) error {
	s := r.Settings
	cfg := net.ListenConfig{KeepAliveConfig: relay.KeepAlive(), Control: relay.ControlSocket}
	datagrams, err := net.ListenPacket("udp4", r.node.Self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	sessions, err := cfg.Listen(ctx, "tcp4", r.node.Self.Address)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for sessions"), datagrams.Close())
	}
	group.Go(func() error { return r.node.Run(ctx, datagrams, sessions) })
	clients, err := cfg.Listen(ctx, "tcp4", s.listen.clients)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	group.Go(func() error { return r.front.Run(ctx, clients, r.graceLeft) })
	ready, err := cfg.Listen(ctx, "tcp4", s.listen.ready)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	group.Go(func() error { return serve(ctx, ready, http.HandlerFunc(r.answerReady)) })
	if r.Metrics == "" {
		return nil
	}
	counters, err := cfg.Listen(ctx, "tcp4", r.Metrics)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	group.Go(func() error { return serve(ctx, counters, r.counters()) })
	return nil
}

// graceLeft is the time for requests in flight once the front is closed.
func (r *Router) graceLeft() time.Duration {
	if l := r.stopping.Load(); l != nil {
		return l.left(r.clock.Now())
	}
	return stopTime(r.bounds.Load().stop) // closed for a failure
}

// stop leaves the rotation and waits until no new connections come.
func (r *Router) stop() {
	l := newLeave(r.clock.Now(), r.bounds.Load().stop, r.node.CountZone())
	r.stopping.Store(l)
	r.front.Stop(l.ending())
	r.node.Broadcast()
	r.coordinator.Stop()
	r.Log.Event("stopping", "router", r.Settings.Name(), "active", r.front.Active(), "ready", l.ready(l.began))
	for now := l.began; !l.over(now); now = r.clock.Now() {
		zone := r.node.CountZone()
		if needed, changed := l.look(now, zone); changed {
			r.Log.Event("needed", "still", needed, "ready", zone.Ready, "all", zone.All)
		}
		time.Sleep(leaveEvery)
	}
	r.Log.Event("closing", "active", r.front.Active(), "after", r.clock.Now().Sub(l.began))
}

// Ready reports whether the router may get connections of clients.
func (r *Router) Ready() bool {
	l := r.stopping.Load()
	return r.current.Load() != nil && r.listed.Load() && (l == nil || l.ready(r.clock.Now()))
}

func (r *Router) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve answers on a listener until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTime, IdleTimeout: time.Minute}
	return httpserve.Until(ctx, server, l, server.Close)
}

// keepHouse forgets what is old until ctx ends.
func (r *Router) keepHouse(ctx context.Context) error {
	tick := time.NewTicker(houseEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		r.woke("house")
		if gap := r.clock.Adjust(); gap > 0 {
			r.slowStart.DelayAll(r.clock.Now())
			r.Log.Event("standstill", "length", gap)
		}
		cover := r.node.CoverTime()
		r.table.SetUsesReports(cover > reportsCover)
		r.directory.SetIndexed(cover > indexCover)
		r.table.Expire(max(countsLeast, countsRounds*cover))
		r.pool.Prune()
		r.watchCold()
	}
}

// storeAnswered counts a call of the store and logs when it begins to fail or to
// succeed.
func (r *Router) storeAnswered(call string, err error) {
	r.countCall(call, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if (err != nil) == r.trouble[call] {
		return
	}
	r.trouble[call] = err != nil
	if err != nil {
		r.Log.Event("lost", "dependency", "store", "call", call, "error", err)
		return
	}
	r.Log.Event("regained", "dependency", "store", "call", call)
}

// malformedAll logs keys that cannot be used, each once.
func (r *Router) malformedAll(keys []string) {
	for _, key := range keys {
		r.malformed(key)
	}
}

// malformed logs a key that cannot be used, once.
func (r *Router) malformed(key string) {
	const most = 1000
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported[key] || len(r.reported) >= most {
		return
	}
	r.reported[key] = true
	r.Log.Event("malformed", "key", key)
}
