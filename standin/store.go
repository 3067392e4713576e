package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
)

const (
	storeMaxValueBytes  = 1 << 20
	storeMaxBodyBytes   = 16 << 20
	storeExpiryInterval = 10 * time.Millisecond
	storeFirstLease     = 1000
)

// Store simulates the platform's key-value service, with the JSON API of etcd.
type Store struct {
	Listener        net.Listener
	Clock           peridotusher.Clock // the wall clock when nil
	Seed            int64              // offset of the lease IDs that are granted
	WritesPerSecond float64            // no limit when zero
	ReadsPerSecond  float64            // no limit when zero

	once   sync.Once
	mu     sync.Mutex
	state  storeState
	calls  StoreCalls
	writes *rate.Limiter
	reads  *rate.Limiter

	changed chan struct{} // closed and replaced when watches have to check for changes
	epoch   int           // incremented to end all watches

	down          bool
	delay         time.Duration
	answersToLose int
	stale         bool
	lastSnapshot  *StoreSnapshot
}

// StoreCalls counts the requests that arrived, by kind. Refused ones are
// also counted by kind.
type StoreCalls struct {
	Get     int
	List    int
	Swap    int
	Delete  int
	Lease   int
	Watch   int
	Refused int
}

// Run serves until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", s.serveTxn)
	mux.HandleFunc("POST /v3/lease/grant", s.serveGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", s.serveKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", s.serveRevoke)
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return platformServe(ctx, s.Listener, mux) })
	group.Go(func() error { return s.expire(ctx) })
	return group.Wait()
}

// init initializes the state once. Faults may be set before Run.
func (s *Store) init() {
	s.once.Do(func() {
		s.state = newStoreState(storeFirstLease + s.Seed)
		s.changed = make(chan struct{})
		s.writes = storeLimiter(s.WritesPerSecond)
		s.reads = storeLimiter(s.ReadsPerSecond)
	})
}

// storeLimiter returns a limiter with a burst of one second's calls.
func storeLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// expire periodically ends expired leases, so that watches are notified without
// another request.
func (s *Store) expire(ctx context.Context) error {
	ticker := time.NewTicker(storeExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.mu.Lock()
			s.expireLocked()
			s.mu.Unlock()
		}
	}
}

// expireLocked ends expired leases and wakes the watches.
func (s *Store) expireLocked() {
	if s.state.expire(platformNow(s.Clock)) {
		s.wakeLocked()
	}
}

// wakeLocked makes all watches check for changes.
func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts the request, applies the faults and the rate limit, and decodes
// the message. It returns whether the request may run; if not, the caller must not
// answer it.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, message any, limiter *rate.Limiter, count func(*StoreCalls)) bool {
	body := http.MaxBytesReader(w, r.Body, storeMaxBodyBytes)
	if err := json.NewDecoder(body).Decode(message); err != nil {
		storeRefuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	s.mu.Lock()
	count(&s.calls)
	delay, down := s.delay, s.down
	limited := !limiter.AllowN(platformNow(s.Clock), 1)
	if down || limited {
		s.calls.Refused++
	}
	s.mu.Unlock()
	if !pause.For(r.Context(), delay) {
		return false
	}
	if down {
		storeRefuse(w, http.StatusServiceUnavailable, "etcdserver: no leader")
		return false
	}
	if limited {
		platformLimited(w, time.Second)
		return false
	}
	return true
}

// storeRefuse answers with an error body.
func storeRefuse(w http.ResponseWriter, status int, message string) {
	platformAnswer(w, status, storeError{Message: message})
}

// storeError is the body of an answer with an error status.
type storeError struct {
	Message string `json:"message"`
}
