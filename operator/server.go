package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/peer"
)

const (
	// headerTimeout limits reading the header of an operator's request.
	headerTimeout = 5 * time.Second
	// maxConns is the largest number of connections of operators, headMemory the memory in bytes that the headers of
	// their requests may take, and maxHeadBytes the size in bytes of the largest one.
	maxConns     = 128
	headMemory   = 8 << 20
	maxHeadBytes = 16 << 10
	// addressTimeout limits the query for another router's operator address.
	addressTimeout = time.Second
)

// Peers provides what other routers report over the peer connections.
type Peers interface {
	PeerStates() map[peridotusher.RouterID]peer.ReportedState
	OperatorAddress(ctx context.Context, to peridotusher.RouterID) (string, error)
}

// Server serves the operators' HTTP API of one router.
type Server struct {
	Listener net.Listener
	Address  string // advertised to operators; the Listener's address if empty
	Metrics  *Metrics
	KeyHash  string // as from document.HashKey; every key is refused if empty
	Self     peridotusher.RouterID
	Zone     peridotusher.Zone
	Started  time.Time
	Members  *peridotusher.Members
	Engines  *peridotusher.Engines
	Ledger   *peridotusher.Ledger
	Placer   *peridotusher.Placer
	Burn     *peridotusher.Burn
	// Placements remembers the engine of each chat; nil if this router doesn't keep them.
	Placements *peridotusher.Placements
	Peers      Peers
	Document   func() *document.Document
	InFlight   func() int
	Stop       func() // starts the graceful shutdown
}

// Run serves until ctx is canceled.
func (s *Server) Run(ctx context.Context) error {
	httpServer := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	limiter := &httpserve.Limiter{
		Clock:        peridotusher.ClockFunc(time.Now),
		MaxConns:     maxConns,
		HeadMemory:   headMemory,
		MaxHeadBytes: func() int { return maxHeadBytes },
	}
	if s.Metrics != nil {
		limiter.Count = func(reason httpserve.Refusal) { s.Metrics.CountRefusal("operators", reason) }
	}
	return httpserve.UntilLimited(ctx, httpServer, s.Listener, limiter)
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	mux.HandleFunc("GET /v1/routers", s.authenticated(s.handleRouters))
	mux.HandleFunc("GET /v1/status", s.authenticated(s.handleStatus))
	mux.HandleFunc("GET /v1/burn", s.authenticated(s.handleBurn))
	mux.HandleFunc("GET /v1/explain", s.authenticated(s.handleExplain))
	mux.HandleFunc("POST /v1/drain", s.authenticated(s.handleDrain))
	mux.HandleFunc("POST /v1/engines/{engine}/drain", s.authenticated(s.handleDrainEngine))
	mux.HandleFunc("GET /report", s.authenticated(s.handleReport))
	mux.HandleFunc("GET /debug/pprof/", s.authenticated(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", s.authenticated(pprof.Profile))
	return mux
}

// authenticated answers requests without the operators' key with status 401.
func (s *Server) authenticated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := operatorKey(r)
		if key == "" || s.KeyHash == "" || document.HashKey(key) != s.KeyHash {
			w.Header().Set("WWW-Authenticate", `Basic realm="operators"`)
			writeError(w, http.StatusUnauthorized, "send the operators' key as Authorization: Bearer KEY, or as the password")
			return
		}
		next(w, r)
	}
}

// operatorKey returns the key of a request: the bearer token, or the password of basic
// authentication, which browsers send.
func operatorKey(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	_, password, _ := r.BasicAuth()
	return password
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.Metrics.writeAll(w)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
