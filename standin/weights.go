package standin

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotusher.example/peridotusher"
)

// Weights simulates the platform's rate-limited weight store.
type Weights struct {
	Listener  net.Listener
	Clock     peridotusher.Clock // the wall clock when nil
	PerSecond float64            // reservations a second; no limit when zero
	Burst     int                // reservations at once; 1 when zero

	mu      sync.Mutex
	limiter *rate.Limiter
	calls   WeightsCalls
}

// WeightsCalls counts the requests that arrived.
type WeightsCalls struct {
	Granted int
	Refused int
}

// weightsTicket is the wire type of a reservation.
type weightsTicket struct {
	Ticket  string `json:"ticket"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Run serves until ctx is done.
func (s *Weights) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.serve)
	return platformServe(ctx, s.Listener, mux)
}

// Calls returns the number of requests that arrived.
func (s *Weights) Calls() WeightsCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// serve grants a reservation, or answers with the time until one is available.
func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	id, wait := s.reserve()
	if wait > 0 {
		platformLimited(w, wait)
		return
	}
	ticket := weightsTicket{"w-" + strconv.Itoa(id), r.PathValue("model"), r.PathValue("version")}
	platformAnswer(w, http.StatusOK, ticket)
}

// reserve returns the number of a new reservation, or the time until one is available.
func (s *Weights) reserve() (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = weightsLimiter(s.PerSecond, s.Burst)
	}
	now := platformNow(s.Clock)
	reservation := s.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		s.calls.Refused++
		return 0, wait
	}
	s.calls.Granted++
	return s.calls.Granted, 0
}

// weightsLimiter returns a rate limiter; without a rate it does not limit.
func weightsLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(burst, 1))
}
