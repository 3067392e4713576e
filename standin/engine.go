package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
)

// Defaults of an Engine.
const (
	engineDefaultSlots = 8
	engineDefaultGrace = 10 * time.Second
	engineReapInterval = 50 * time.Millisecond
)

// EngineModel is a model version that an Engine serves.
type EngineModel struct {
	Model   string
	Version string
}

// Engine simulates a model engine with continuous batching and a prompt prefix
// cache. Its answers are derived from the request, see EngineAnswer.
type Engine struct {
	Name            string
	Zone            string
	Listener        net.Listener
	Clock           peridotusher.Clock
	Seed            uint64
	Models          []EngineModel // loaded at the start; an empty list serves every model
	Slots           int           // work units that run at once
	TokenTime       time.Duration // time of one step of the batch
	PrefillPerToken time.Duration // added to a step for each uncached prompt token
	CacheTokens     int           // size of the prefix cache
	LoadReportDelay time.Duration // age of the load report
	EventDelay      time.Duration // delay of a cache event
	EventLossRate   float64       // probability that a cache event is lost
	ChecksFence     bool          // refuse an order with an outdated fencing number
	LoadTime        time.Duration // time to load a model version
	Grace           time.Duration // time for which a stream without a reader is retained
	CrashOn         string        // text in the messages of requests that crash the engine at their first token

	once   sync.Once
	wake   chan struct{}
	server *http.Server

	mu     sync.Mutex
	faults engineFaults
	conns  map[net.Conn]struct{}
	runs   map[string]*engineRun // by stream id
	queue  []*engineRun          // waiting, in the order of arrival
	batch  []*engineRun
	count  int // streams started
	cache  engineCache
	orders engineOrders
	loads  []engineSample
	stats  EngineStats
}

// prepare sets the defaults and initializes the internal state.
func (e *Engine) prepare() {
	if e.Slots == 0 {
		e.Slots = engineDefaultSlots
	}
	if e.Grace == 0 {
		e.Grace = engineDefaultGrace
	}
	if e.Clock == nil {
		e.Clock = peridotusher.ClockFunc(time.Now)
	}
	e.wake = make(chan struct{}, 1)
	e.conns = make(map[net.Conn]struct{})
	e.runs = make(map[string]*engineRun)
	e.faults.slow = 1
	e.cache.init(e.Seed, e.CacheTokens, e.EventLossRate)
	e.orders.init(e.Models, e.Clock.Now())
	e.stats.Runs = make(map[string]int)
	e.stats.Versions = make(map[string]string)
	e.stats.Orders = make(map[string]int)
	e.server = &http.Server{Handler: e.routes(), ConnState: e.trackConn}
}

// Run serves until ctx ends. SetCrashed does not make it return.
func (e *Engine) Run(ctx context.Context) error {
	e.once.Do(e.prepare)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := e.server.Serve(e.Listener)
		if errors.Is(err, http.ErrServerClosed) || e.IsCrashed() {
			return nil
		}
		return err
	})
	group.Go(func() error {
		e.loop(ctx)
		return e.server.Close()
	})
	return group.Wait()
}

// routes returns the handler of the engine's HTTP API.
func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /cache/export", e.serveExport)
	mux.HandleFunc("POST /cache/import", e.serveImport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveState)
	return e.withSilence(mux)
}

// loop runs the batch until ctx ends.
func (e *Engine) loop(ctx context.Context) {
	ticker := time.NewTicker(engineReapInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		rest, busy := e.admit()
		if !busy {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-ticker.C:
			}
			continue
		}
		pause.For(ctx, rest)
		if e.crashesNow() {
			e.SetCrashed()
			continue
		}
		e.step()
	}
}

// wakeLoop notifies the loop that a request has arrived.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
