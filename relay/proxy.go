package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/budget"
	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/overload"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
	"peridotusher.example/peridotusher/slowstart"
)

const (
	// defaultHeaderTimeout limits the time to read a request head until a configuration is
	// known, maxHeaderTimeout under any configuration.
	defaultHeaderTimeout = 10 * time.Second
	maxHeaderTimeout     = time.Minute
	// writeMargin is the time after a request's deadline in which its client may still read the
	// answer.
	writeMargin = 300 * time.Millisecond
	// keepAliveMargin is added to the time for which clients may use idle connections again. A packet that was
	// lost twice is sent again within it.
	keepAliveMargin = 600 * time.Millisecond
)

// Proxy is the reverse proxy that serves clients. Its fields are set before Run.
type Proxy struct {
	// Zone is the router's own availability zone.
	Zone string
	// Regions maps availability zones to their regions. Zones without a region are missing.
	Regions map[string]string
	Clock   peridotusher.Clock
	Current *routing.Current
	Table   *replicas.Table
	// Directory records which replicas hold which shared prompt parts.
	Directory *placing.Directory
	// CacheHolders queries another router for the holders of a part, if the holders are not
	// published to all routers. PublishPlacements publishes to which replicas prompts with parts
	// were sent, and whether the replicas have read the parts.
	CacheHolders      func(ctx context.Context, key uint64) []placing.CacheHolder
	PublishPlacements func(use placing.Event, placements ...placing.Placement)
	// Reads tracks which replicas are reading which parts at the moment.
	Reads *placing.Reads
	// MarkLeaving records that a replica announced in an answer that it is shutting down. id is
	// that of the request.
	MarkLeaving func(r *replicas.Replica, id string)
	// BroadcastReads publishes the start or end of a read to the other routers.
	BroadcastReads func()
	Dialect        Dialect
	RetryBudget    *budget.Budget
	Pool           *Pool
	Log            Log
	Metrics        *Metrics
	// Burn counts the use of the error budget; nil disables it.
	Burn *peridotusher.Burn
	// SuccessTarget returns the target fraction of requests that are answered completely and in time.
	SuccessTarget func() float64
	// Gate refuses requests that no replica can run in time.
	Gate *overload.Gate
	// Quarantine blocks requests that would crash replicas; nil blocks none.
	Quarantine Quarantine
	// SlowStart limits the requests to cold replicas; nil disables the limit.
	SlowStart *slowstart.Limiter
	// RateLimit limits the requests to replicas that state a request rate; nil disables the limit.
	// RecordRate records what an answer says about the rate.
	RateLimit  *ratelimit.Limiter
	RecordRate func(a ratelimit.Answer)
	// Admission grants slots at replicas to requests for plain services, if some replica of the
	// service reports its pace. If nil, this router chooses all replicas itself.
	Admission Admission
	// AlwaysAdmit makes requests acquire slots even if no replica reports its pace.
	AlwaysAdmit bool
	// MaxLoadFactor limits the load of a replica when prompts are placed, as a multiple of the mean
	// load.
	MaxLoadFactor float64
	// BodyMemory limits the total bytes of request bodies in memory.
	BodyMemory int64
	// HeadMemory limits the total memory in bytes that the heads of requests take until the requests are answered.
	HeadMemory int64
	// AnswerMemory limits the total bytes of answers that are buffered for slow clients. With 0
	// nothing is buffered, and replicas wait for the clients.
	AnswerMemory int64
	// MaxConnections limits the number of open client connections.
	MaxConnections int
	// KeepAliveTimeout is the keep-alive timeout that answers announce to clients, in whole seconds. 0
	// announces none.
	KeepAliveTimeout time.Duration
	// DrainTime returns how long a replica serves at least after it has announced that it is leaving;
	// nil if that is not known.
	DrainTime func() time.Duration
	// Registry tells whether a replica that has ended was departing; nil if that is not known.
	Registry Registry
	// Routers returns the number of routers that share the retry budget.
	Routers func() int

	usualTimes placing.LatencyTracker
	bodies     atomic.Int64 // bytes of request bodies in memory
	stopPolicy atomic.Pointer[StopPolicy]
	conns      atomic.Pointer[limitedConns] // client connections; nil before Run
	active     atomic.Int64
	// answerBuffer buffers answers for slow clients; nil before Run and if AnswerMemory is 0.
	answerBuffer atomic.Pointer[answerBuffer]
}

// Log records decisions, one line each. It must not block.
type Log interface {
	// Event logs a line of the given kind. The fields are alternating names and values.
	Event(kind string, fields ...any)
}

// Run serves clients on the listener until ctx ends. Then it closes the listener and drains the open
// connections, for at most the time that grace returns at that moment.
func (f *Proxy) Run(ctx context.Context, l net.Listener, grace func() time.Duration) error {
	conns := newLimitedConns(f.Clock)
	f.conns.Store(conns)
	server := &http.Server{
		Handler:           httpserve.TrackRequests(f),
		ReadHeaderTimeout: maxHeaderTimeout,
		ConnState:         conns.Track,
		ConnContext:       httpserve.WithConn,
		ErrorLog:          nil,
	}
	var buffer *answerBuffer
	if f.AnswerMemory > 0 {
		buffer = newAnswerBuffer(f.Clock, f.AnswerMemory, f.Log, f.Metrics)
		f.answerBuffer.Store(buffer)
	}
	limited := &clientListener{Listener: l, limiter: f.newLimiter(), buffer: buffer}
	f.Metrics.registerClients(limited.limiter)
	group, ctx := errgroup.WithContext(ctx)
	// Clients are served after ctx ends, until all connections are drained.
	serving, endServing := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error {
		conns.run(serving, func() httpserve.Limits {
			f.Metrics.countWakeUp("limits")
			f.updateAckTimeouts()
			return f.connLimits()
		})
		return nil
	})
	group.Go(func() error { return f.probeUnreachable(serving) })
	group.Go(func() error {
		defer endServing()
		return httpserve.UntilDrained(ctx, server, limited, func() error {
			f.drain(ctx, grace())
			return nil
		})
	})
	return group.Wait()
}

// updateAckTimeouts updates TCP_USER_TIMEOUT for the connections of clients and replicas with data that
// may not have been acknowledged.
func (f *Proxy) updateAckTimeouts() {
	if buffer := f.answerBuffer.Load(); buffer != nil {
		buffer.updateAckTimeouts()
	}
	f.Pool.updateAckTimeouts()
}

// drain waits until all connections have ended, for at most the grace period. A connection without a request is
// kept until keepAliveMargin after the time for which its client may use it again.
func (f *Proxy) drain(ctx context.Context, grace time.Duration) {
	if !f.stopping() { // a part of the router has failed
		f.Stop(StopPolicy{AnswerBy: f.Clock.Now().Add(grace)})
	}
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	unused := f.keepAliveTimeout() + keepAliveMargin
	limits := httpserve.Limits{Head: f.connLimits().Head, New: unused, Idle: unused}
	if err := f.conns.Load().Drain(graceCtx, limits); err != nil {
		f.Log.Event("cut", "requests", f.active.Load(), "error", err)
	}
	if buffer := f.answerBuffer.Load(); buffer != nil {
		buffer.awaitEmpty(graceCtx)
		buffer.stop()
	}
}

// Stop begins a graceful stop: answers whose head is written from now on announce the end of their
// connections, and requests that may outlast the stop are refused.
func (f *Proxy) Stop(e StopPolicy) { f.stopPolicy.Store(&e) }

func (f *Proxy) stopping() bool { return f.stopPolicy.Load() != nil }

// Active returns the number of requests in flight.
func (f *Proxy) Active() int64 { return f.active.Load() }

// connLimits returns the limits of the current configuration.
func (f *Proxy) connLimits() httpserve.Limits {
	doc := f.Current.Load()
	if doc == nil {
		return httpserve.Limits{Head: defaultHeaderTimeout}
	}
	return httpserve.Limits{Head: doc.Limits.HeaderTimeout, Idle: doc.Limits.IdleTimeout}
}

// ServeHTTP implements http.Handler.
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	f.announceKeepAlive(w.Header())
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		f.Log.Event("socket", "error", err)
	}
	t := &task{proxy: f, w: w, r: r, began: f.Clock.Now(), client: bufferedConnOf(r.Context())}
	t.call = f.Dialect.ReadCall(r.Header)
	if t.client != nil {
		t.client.buffer.setRequestID(t.client, t.call.ID)
	}
	t.serve()
	t.awaitDelivery()
}

// serve validates the request and forwards it.
func (t *task) serve() {
	defer t.freeBody()
	if t.prepare() {
		t.forward()
	}
}

// awaitDelivery waits until the buffered rest of the answer has been written to the client. The
// replica and the memory of the request body have been released before.
func (t *task) awaitDelivery() {
	if t.client == nil || !t.client.draining.Load() {
		return
	}
	err := http.NewResponseController(t.w).Flush()
	if abortErr := t.client.buffer.awaitWritten(t.client); abortErr != nil {
		err = abortErr
	}
	if err != nil {
		t.abortAnswer("client", err)
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// formatSeconds formats a duration in seconds with milliseconds, for Retry-After.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
