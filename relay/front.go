package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/budget"
	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/overload"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
	"peridotusher.example/peridotusher/slowstart"
)

const (
	// headerRoom is the largest head of a request that the server reads at all;
	// the configuration's limit below it is checked for each request.
	headerRoom = 64 << 10
	// headerTime bounds the reading of a head until a configuration is known,
	// headerLongest whatever the configuration says.
	headerTime    = 10 * time.Second
	headerLongest = time.Minute
	// writeMargin is how long after the deadline a client may take to read.
	writeMargin = 300 * time.Millisecond
)

// Front serves clients. Its fields are set before Run.
type Front struct {
	// Zone is the router's own availability zone.
	Zone string
	// Regions holds the region of each availability zone that is in one.
	Regions map[string]string
	Clock   peridotusher.Clock
	Current *routing.Current
	Table   *replicas.Table
	// Directory says which replicas hold which parts of prompts.
	Directory *placing.Directory
	// CacheHolders asks another router for the holders of a part, if they are not published
	// to all; PublishPlacements publishes where prompts with parts went and whether they were
	// read.
	CacheHolders      func(ctx context.Context, key uint64) []placing.CacheHolder
	PublishPlacements func(use placing.Event, placements ...placing.Placement)
	// Reads says which replicas are reading which parts just now.
	Reads *placing.Reads
	// MarkLeaving records that a replica announced in the answer to a request that it leaves.
	MarkLeaving func(r *replicas.Replica, id string)
	// Broadcast publishes the begin or end of a read to the other routers.
	Broadcast func()
	Dialect   Dialect
	Budget    *budget.Budget
	Pool      *Pool
	Log       Log
	Metrics   *Metrics
	// Burn counts what is spent of the error budget; nil counts nothing.
	Burn *peridotusher.Burn
	// Share returns the part of the requests that are due whole and in time.
	Share func() float64
	// Gate refuses requests that no replica can run in time.
	Gate *overload.Gate
	// SlowStart limits the requests to cold replicas; nil limits none.
	SlowStart *slowstart.Limiter
	// Admission grants requests to plain services slots at replicas, if some replica of the
	// service reports its pace; nil leaves all choices to this router.
	Admission Admission
	// AdmitAlways makes requests ask for slots also if no replica reports its pace.
	AdmitAlways bool
	// Multiple limits the requests at a replica, as a multiple of the mean.
	Multiple float64
	// BodyMemory limits the bytes of request bodies that are held at once.
	BodyMemory int64
	// AnswerMemory limits the bytes of answers that are held at once for clients which do
	// not read in time; 0 holds nothing, so that replicas wait for the clients.
	AnswerMemory int64
	// Connections limits the connections of clients.
	Connections int
	// Reuse is how long clients may use an idle connection again, in whole
	// seconds; answers announce it. 0 announces nothing.
	Reuse time.Duration
	// Routers returns how many routers share the retry budget.
	Routers func() int

	usual  placing.LatencyTracker
	bodies atomic.Int64 // bytes of bodies held
	ending atomic.Pointer[Ending]
	conns  atomic.Pointer[connTable] // of the clients, while Run serves
	active atomic.Int64
	// answers is the memory for answers while Run serves; nil holds nothing.
	answers atomic.Pointer[answerMemory]
}

// Log takes one line for each decision. It must not block.
type Log interface {
	// Event logs a line of the kind with fields given as name, value pairs.
	Event(kind string, fields ...any)
}

// Run serves clients on the listener until ctx ends, then closes it and ends the
// requests in flight, for at most the time that grace returns then.
func (f *Front) Run(ctx context.Context, l net.Listener, grace func() time.Duration) error {
	conns := newConnTable(f.Clock, f.stopping)
	f.conns.Store(conns)
	server := &http.Server{
		Handler:           f,
		MaxHeaderBytes:    headerRoom,
		ReadHeaderTimeout: headerLongest,
		ConnState:         conns.state,
		ErrorLog:          nil,
	}
	var answers *answerMemory
	if f.AnswerMemory > 0 {
		answers = newAnswerMemory(f.Clock, f.AnswerMemory, f.Log, f.Metrics)
		f.answers.Store(answers)
		server.ConnContext = withClient
	}
	limited := &limitListener{Listener: l, answers: answers, most: int64(f.Connections), refused: func() { f.Log.Event("refused", "connections", f.Connections) }}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		conns.closeLate(ctx, func() connLimits {
			f.Metrics.woke("limits")
			if answers != nil {
				answers.checkUnread()
			}
			return f.connLimits()
		})
		return nil
	})
	group.Go(func() error { return f.probeUnreachable(ctx) })
	group.Go(func() error {
		return httpserve.Until(ctx, server, limited, func() error { return f.shutdown(ctx, server, grace()) })
	})
	return group.Wait()
}

// shutdown ends the requests in flight, for at most the given time.
func (f *Front) shutdown(ctx context.Context, server *http.Server, grace time.Duration) error {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err := server.Shutdown(last)
	if err != nil {
		f.Log.Event("cut", "requests", f.active.Load(), "error", err)
		err = server.Close()
	}
	if answers := f.answers.Load(); answers != nil {
		answers.empty(last)
		answers.stop()
	}
	return err
}

// Stop begins the graceful stop: from now on each answer closes its connection, and
// requests that may outlast the stop are refused.
func (f *Front) Stop(e Ending) { f.ending.Store(&e) }

func (f *Front) stopping() bool { return f.ending.Load() != nil }

// Active returns the number of requests in flight.
func (f *Front) Active() int64 { return f.active.Load() }

// connLimits returns the limits of the configuration in force.
func (f *Front) connLimits() connLimits {
	doc := f.Current.Load()
	if doc == nil {
		return connLimits{head: headerTime}
	}
	return connLimits{head: doc.Limits.HeaderTimeout, idle: doc.Limits.IdleTimeout}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	f.announce(w.Header())
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		f.Log.Event("socket", "error", err)
	}
	t := &task{front: f, w: w, r: r, began: f.Clock.Now(), client: clientOf(r.Context())}
	t.call = f.Dialect.Call(r.Header)
	if t.client != nil {
		t.client.answers.begin(t.client, t.call.ID)
	}
	t.serve()
	t.settle()
}

// serve answers the request.
func (t *task) serve() {
	defer t.freeBody()
	if t.admit() {
		t.run()
	}
}

// settle waits for a client that has not taken its answer yet. The replica and the memory
// of the request's body are free by then.
func (t *task) settle() {
	if t.client == nil || !t.client.draining.Load() {
		return
	}
	err := http.NewResponseController(t.w).Flush()
	if failed := t.client.answers.settle(t.client); failed != nil {
		err = failed
	}
	if err != nil {
		t.cut("client", err)
	}
}

// announce announces to the client whether it may use the connection again. A client
// that keeps to the time sends nothing on a connection that a stop closes.
func (f *Front) announce(h http.Header) {
	if f.stopping() {
		announceClose(h)
		return
	}
	if whole := int(f.reuse() / time.Second); whole > 0 { // seconds
		h.Set("Connection", "keep-alive")
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(whole))
	}
}

// reuse returns how long clients may leave a connection idle and use it again.
func (f *Front) reuse() time.Duration {
	if idle := f.connLimits().idle; idle > 0 {
		return min(f.Reuse, idle)
	}
	return f.Reuse
}

// announceClose announces that the connection ends with the answer.
func announceClose(h http.Header) {
	h.Del("Keep-Alive")
	h.Set("Connection", "close")
}

// admit checks the request against the configuration and reads its body. It
// answers the request itself if it may not go on.
func (t *task) admit() bool {
	f := t.front
	t.doc = f.Current.Load()
	if t.doc == nil {
		t.refuse(http.StatusServiceUnavailable, "no_configuration", retryUnready)
		return false
	}
	route, ok := t.doc.Match(t.r.Host, t.path())
	if !ok {
		t.deny(http.StatusNotFound, "no_route")
		return false
	}
	t.route = route
	if limit := t.doc.Limits.HeaderBytes; limit > 0 && headerBytes(t.r) > limit {
		t.deny(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return false
	}
	if t.doc.RequiresKeys() && !route.Public {
		holder, ok := t.doc.Organisation(t.call.Key)
		if !ok {
			t.deny(http.StatusUnauthorized, "unknown_key")
			return false
		}
		t.organisation = holder
	}
	t.deadline()
	if e := f.ending.Load(); e != nil && !e.Takes(t.began, t.until) {
		t.refuse(http.StatusServiceUnavailable, "stopping", retryStopping)
		return false
	}
	return t.readBody()
}

// path returns the path of the request target as the client wrote it.
func (t *task) path() string {
	target := t.r.RequestURI
	if target == "" || target[0] != '/' {
		return t.r.URL.EscapedPath()
	}
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// deadline sets the time at which the request is given up.
func (t *task) deadline() {
	left := t.route.Timeout
	if p := t.call.Patience; p > 0 && (left <= 0 || p < left) {
		left = p
	}
	if left <= 0 {
		left = longestRequest
	}
	t.until = t.began.Add(left)
	if err := http.NewResponseController(t.w).SetWriteDeadline(time.Now().Add(left + writeMargin)); err != nil {
		t.front.Log.Event("socket", "id", t.call.ID, "error", err)
	}
}

// service picks the service of the request by the route's shares.
func (t *task) service() string { return t.route.Service(uniform(t.call.ID)) }

// uniform maps a text to a number that is uniform in [0, 1).
func uniform(text string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(text)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// jitter spreads d by a quarter to both sides.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// seconds writes a duration as Retry-After takes it.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
