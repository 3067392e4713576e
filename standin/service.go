package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Service simulates a plain service that saves and fetches documents by path, such
// as profiles and ledgers. It does not deduplicate calls, so that its counts show
// every repetition.
type Service struct {
	Name        string
	Zone        string
	Listener    net.Listener
	ChecksFence bool     // refuse a call with an outdated fencing number
	Shared      *Service // replica with which this one shares documents; nil for documents of its own

	documents serviceDocuments

	mu      sync.Mutex        // locked before the documents' mu
	keys    map[string]int    // runs by idempotency key
	paths   map[string]int    // runs by path
	fences  map[string]uint64 // highest fencing number by path
	running int
	faults  serviceFaults
}

// serviceFaults are the faults currently injected; a number counts calls still to fail.
type serviceFaults struct {
	dropBefore     int
	dropDuring     int
	truncateAnswer int
	refuse         bool
	silent         bool
	rate           string // accepted requests a second that answers state; "" without a limit
}

// serviceOutcome is the way in which a call is answered or fails.
type serviceOutcome int

const (
	serviceAnswer serviceOutcome = iota
	serviceRefuse
	serviceFenced
	serviceDrop
	serviceTruncate
	serviceHang
)

// FailBefore closes the connections of the next n calls before they run.
func (s *Service) FailBefore(n int) { s.change(func(f *serviceFaults) { f.dropBefore = n }) }

// FailDuring runs the next n calls and closes their connections before the answer.
func (s *Service) FailDuring(n int) { s.change(func(f *serviceFaults) { f.dropDuring = n }) }

// FailAfter runs the next n calls and truncates the bodies of their answers.
func (s *Service) FailAfter(n int) { s.change(func(f *serviceFaults) { f.truncateAnswer = n }) }

// RefuseNew makes the service refuse calls before running them.
func (s *Service) RefuseNew(on bool) { s.change(func(f *serviceFaults) { f.refuse = on }) }

// SetSilent makes the service run calls and never answer them.
func (s *Service) SetSilent(on bool) { s.change(func(f *serviceFaults) { f.silent = on }) }

// LimitRate makes answers state a number of requests a second that the service accepts; ""
// ends the limit.
func (s *Service) LimitRate(rate string) { s.change(func(f *serviceFaults) { f.rate = rate }) }

// change edits the faults.
func (s *Service) change(edit func(*serviceFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(&s.faults)
}

// ServiceStats counts what a Service ran.
type ServiceStats struct {
	Keys  map[string]int // runs by idempotency key
	Paths map[string]int // runs by path
}

// Stats returns the counts so far.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceStats{Keys: maps.Clone(s.keys), Paths: maps.Clone(s.paths)}
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveCall)
	return platformServe(ctx, s.Listener, mux)
}

// serviceLoad is the answer of GET /load.
type serviceLoad struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
}

// serveLoad reports the calls in flight.
func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := serviceLoad{Name: s.Name, Running: s.running}
	s.mu.Unlock()
	fmt.Fprint(w, engineJSON(load))
}

// serveCall runs one call and answers it or fails it as the faults demand.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer, outcome := s.run(r, body)
	defer s.finish()
	if rate := s.rate(); rate != "" {
		w.Header().Set("X-Request-Rate", rate)
	}
	switch outcome {
	case serviceRefuse:
		engineRefuse(w)
	case serviceFenced:
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
	case serviceDrop:
		panic(http.ErrAbortHandler)
	case serviceHang:
		<-r.Context().Done()
	case serviceTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
		w.WriteHeader(status)
		w.Write(answer)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(status)
		w.Write(answer)
	}
}

// rate returns the request rate that answers state.
func (s *Service) rate() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.rate
}

// finish records the end of a call.
func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// run runs a call unless it is refused or a fault prevents it, counts it and returns
// its status, its answer and its outcome.
func (s *Service) run(r *http.Request, body []byte) (int, []byte, serviceOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if s.faults.refuse {
		return 0, nil, serviceRefuse
	}
	if s.faults.dropBefore > 0 {
		s.faults.dropBefore--
		return 0, nil, serviceDrop
	}
	if !s.admitFence(r.URL.Path, r.Header.Get("X-Fencing-Token")) {
		return 0, nil, serviceFenced
	}
	status, answer := s.apply(r, body)
	switch {
	case s.faults.silent:
		return status, answer, serviceHang
	case s.faults.dropDuring > 0:
		s.faults.dropDuring--
		return status, answer, serviceDrop
	case s.faults.truncateAnswer > 0:
		s.faults.truncateAnswer--
		return status, answer, serviceTruncate
	}
	return status, answer, serviceAnswer
}

// admitFence returns whether the call's fencing number is at least as high as every
// earlier one for the same path.
func (s *Service) admitFence(path, token string) bool {
	if !s.ChecksFence || token == "" {
		return true
	}
	fence, err := strconv.ParseUint(token, 10, 64)
	if err != nil || fence < s.fences[path] {
		return false
	}
	if s.fences == nil {
		s.fences = make(map[string]uint64)
	}
	s.fences[path] = fence
	return true
}

// apply fetches or saves the document of the call's path.
func (s *Service) apply(r *http.Request, body []byte) (int, []byte) {
	if s.keys == nil {
		s.keys = make(map[string]int)
		s.paths = make(map[string]int)
	}
	s.paths[r.URL.Path]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.keys[key]++
	}
	if r.Method != http.MethodGet {
		s.store().save(r.URL.Path, body)
		return http.StatusOK, body
	}
	document, ok := s.store().fetch(r.URL.Path)
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, document
}

// store returns the documents that the replica serves.
func (s *Service) store() *serviceDocuments {
	if s.Shared != nil {
		return s.Shared.store()
	}
	return &s.documents
}
