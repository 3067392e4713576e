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
	"peridotusher.example/peridotusher/tcp"
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
	ID   string // sent by a caller as Last-Event-ID to resume after this event, or empty
	Data []byte // one chunk in the chat-completions format
}

// ChatStream is a streamed answer. Next returns io.EOF after a complete answer.
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

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Endpoint string
	Replayed bool // this is the recorded answer to an earlier call with the same key
}

// Services answers requests to plain services.
type Services interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// Outcome is the result of one finished request, for the metrics.
type Outcome struct {
	Organisation string
	Class        string
	Service      string
	Verdict      peridotusher.Verdict
	Cause        peridotusher.Cause
	Complete     bool // the answer is complete
	InTime       bool // and ended before the deadline
	FirstToken   time.Duration
	Duration     time.Duration
	PromptTokens int // as reported by the engine, zero if it did not report them
	CachedTokens int // prompt tokens that were found in the engine's cache
}

// Limits limits the requests that callers may send. A zero Concurrent or Connections means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	Concurrent    int
	Connections   int   // of all callers
	HeaderMemory  int64 // bytes that the headers of all requests take until they are answered
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
	Ready    func() bool // false while the router knows no endpoints; nil means always ready
	Clock    peridotusher.Clock
	Log      logrus.FieldLogger
	NewID    func() string
	Limits   Limits
	Settle   time.Duration // how long a stopping server accepts requests, so that the balancer can notice
	Drain    time.Duration // longest wait for requests in flight
	Record   func(Outcome)
	Refused  func(httpserve.Refusal) // counts callers that are refused or disconnected; nil counts none

	stopping atomic.Bool
	// answerBy is the time by which requests have to be answered during a stop; nil before it.
	answerBy atomic.Pointer[time.Time]
	// requestsEnded ends at that time, by endRequests; nil before Run.
	requestsEnded context.Context
	endRequests   context.CancelFunc
	inFlight      atomic.Int64
}

// Run serves until ctx ends. It then fails the readiness check, waits for Settle so
// that the balancer notices, stops accepting connections and returns when the
// requests in flight have ended and callers have received the answers, or Drain
// has passed. Shortly before that it answers the remaining requests with a failure.
func (s *Server) Run(ctx context.Context) error {
	conns := &httpserve.Conns{Clock: s.Clock}
	httpServer := &http.Server{
		Handler:           httpserve.TrackRequests(s.announceStop(s.Handler())),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		ConnState:         conns.Track,
		ConnContext:       httpserve.WithConn,
	}
	s.requestsEnded, s.endRequests = context.WithCancel(context.Background())
	defer s.endRequests()
	closer := tcp.NewCloser()
	accepting, stopAccepting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAccepting()
	cancelStop := context.AfterFunc(ctx, func() {
		s.beginStop()
		time.Sleep(s.Settle)
		stopAccepting()
	})
	defer cancelStop()
	return httpserve.UntilDrained(accepting, httpServer, &httpserve.Listener{Listener: s.Listener, Closer: closer, Limiter: s.newLimiter()}, func() error {
		drainCtx, cancel := context.WithTimeout(context.Background(), s.Drain)
		defer cancel()
		err := conns.Drain(drainCtx, httpserve.Limits{Head: s.Limits.HeaderTimeout, New: idleReuseTime, Idle: idleReuseTime})
		s.awaitReaders(drainCtx, closer)
		return err
	})
}

// awaitReaders waits until callers have received their answers or ctx ends.
func (s *Server) awaitReaders(ctx context.Context, closer *tcp.Closer) {
	closer.Await(ctx)
	if unread := closer.Stop(); unread > 0 {
		s.Log.WithField("connections", unread).Warn("router stopped before callers had read their answers")
	}
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.limitConcurrency(s.handleChat))
	mux.HandleFunc("GET /v1/models", s.limitConcurrency(s.handleModels))
	mux.HandleFunc("/services/{service}/{path...}", s.limitConcurrency(s.handleService))
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("/", s.handleUnknown)
	return mux
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// limitConcurrency refuses a request that exceeds the limit of concurrent requests.
func (s *Server) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
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

// handleReady answers the balancer's check whether to send new requests here.
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
