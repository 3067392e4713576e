package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/httpserve"
)

// ChatCall is one caller's request to a model.
type ChatCall struct {
	Document    *document.Document
	Request     peridotusher.Request
	Body        []byte // the caller's JSON
	LastEventID string // set when the caller resumes a stream
}

// ChatEvent is one event of a streamed answer.
type ChatEvent struct {
	ID   string // what a caller sends back as Last-Event-ID, or empty
	Data []byte // one chunk in the chat-completions format
}

// ChatStream is a streamed answer. Next returns io.EOF after a whole answer.
type ChatStream interface {
	Next() (ChatEvent, error)
	Engine() string
	Close()
}

// Chats answers requests to models.
type Chats interface {
	Chat(ctx context.Context, call ChatCall) (ChatStream, error)
}

// ServiceCall is one caller's request to a plain service.
type ServiceCall struct {
	Document     *document.Document
	ID           peridotusher.RequestID
	Organisation string
	Service      *document.Service
	Method       string
	Path         string
	Query        string
	Header       http.Header
	Body         []byte
	Key          string // the Idempotency-Key, or empty
	Deadline     time.Time
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Endpoint string
	Replayed bool // the recorded outcome of an earlier call with the same key
}

// Services answers requests to plain services.
type Services interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// Outcome describes one finished request to the metrics.
type Outcome struct {
	Organisation string
	Class        string
	Service      string
	Verdict      peridotusher.Verdict
	Cause        peridotusher.Cause
	Whole        bool
	InTime       bool
	FirstToken   time.Duration
	Duration     time.Duration
	PromptTokens int // as the engine counted them, zero when it did not
	CachedTokens int // of those, the ones found in its cache
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	Concurrent    int
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
}

// Server serves callers.
type Server struct {
	Listener net.Listener
	Chats    Chats
	Services Services
	Document func() *document.Document
	Ready    func() bool // false while the router knows no endpoints; nil is always true
	Clock    peridotusher.Clock
	Log      logrus.FieldLogger
	NewID    func() string
	Limits   Limits
	Settle   time.Duration // how long a stopping server stays open until the balancer has noticed
	Drain    time.Duration // longest wait for requests in flight
	Record   func(Outcome)

	stopping atomic.Bool
	inFlight atomic.Int64
}

// Run serves until ctx ends. It then fails the readiness check, waits for the
// balancer to notice, takes nothing new, ends what is in flight and returns.
func (s *Server) Run(ctx context.Context) error {
	httpServer := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
	}
	return httpserve.Until(ctx, httpServer, s.Listener, func() error {
		s.stopping.Store(true)
		time.Sleep(s.Settle)
		drainCtx, cancel := context.WithTimeout(context.Background(), s.Drain)
		defer cancel()
		return httpServer.Shutdown(drainCtx)
	})
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.limited(s.handleChat))
	mux.HandleFunc("GET /v1/models", s.limited(s.handleModels))
	mux.HandleFunc("/services/{service}/{path...}", s.limited(s.handleService))
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("/", s.handleUnknown)
	return mux
}

// InFlight returns the number of requests being answered.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// limited refuses a request beyond the limit of concurrent requests.
func (s *Server) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		defer s.inFlight.Add(-1)
		if n := s.inFlight.Add(1); s.Limits.Concurrent > 0 && n > int64(s.Limits.Concurrent) {
			f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "this entry host has too many requests in flight")
			writeFailure(w, f.WithRetryAfter(time.Second))
			return
		}
		next(w, r)
	}
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// handleReady tells the balancer whether to send new requests here.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || s.Document() == nil || s.Ready != nil && !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleUnknown(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseUnknownRoute, "no route %s %s", r.Method, r.URL.Path))
}
