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

// Service is a plain service that saves and fetches documents by path, such
// as profiles and ledgers. It runs a repeated call again, so that its counts
// show every repetition.
type Service struct {
	Name        string
	Zone        string
	Listener    net.Listener
	ChecksFence bool     // refuse a call with an old fencing number
	Shared      *Service // replica whose documents this one reads and writes, nil for its own

	documents serviceDocuments

	mu      sync.Mutex        // taken before the documents' mu
	keys    map[string]int    // runs by idempotency key
	paths   map[string]int    // runs by path
	fences  map[string]uint64 // highest fencing number by path
	running int
	faults  serviceFaults
}

// serviceFaults are the calls still to fail.
type serviceFaults struct {
	before int
	during int
	after  int
	refuse bool
	silent bool
}

// serviceOutcome says how a call goes on.
type serviceOutcome int

const (
	serviceAnswer serviceOutcome = iota
	serviceRefuse
	serviceFenced
	serviceDrop
	serviceCut
	serviceHang
)

// FailBefore drops the connection of the next n calls before they run.
func (s *Service) FailBefore(n int) { s.change(func(f *serviceFaults) { f.before = n }) }

// FailDuring runs the next n calls and drops the connection before the answer.
func (s *Service) FailDuring(n int) { s.change(func(f *serviceFaults) { f.during = n }) }

// FailAfter runs the next n calls and cuts the answer in its body.
func (s *Service) FailAfter(n int) { s.change(func(f *serviceFaults) { f.after = n }) }

// RefuseNew makes the service refuse calls before running them.
func (s *Service) RefuseNew(on bool) { s.change(func(f *serviceFaults) { f.refuse = on }) }

// SetSilent makes the service run calls and never answer them.
func (s *Service) SetSilent(on bool) { s.change(func(f *serviceFaults) { f.silent = on }) }

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

// serveCall runs one call and answers as the faults say.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer, outcome := s.run(r, body)
	defer s.finish()
	switch outcome {
	case serviceRefuse:
		engineRefuse(w)
	case serviceFenced:
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
	case serviceDrop:
		panic(http.ErrAbortHandler)
	case serviceHang:
		<-r.Context().Done()
	case serviceCut:
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

// finish counts a call out.
func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// run decides on a call, runs it and counts it.
func (s *Service) run(r *http.Request, body []byte) (int, []byte, serviceOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if s.faults.refuse {
		return 0, nil, serviceRefuse
	}
	if s.faults.before > 0 {
		s.faults.before--
		return 0, nil, serviceDrop
	}
	if !s.admitFence(r.URL.Path, r.Header.Get("X-Fencing-Token")) {
		return 0, nil, serviceFenced
	}
	status, answer := s.apply(r, body)
	switch {
	case s.faults.silent:
		return status, answer, serviceHang
	case s.faults.during > 0:
		s.faults.during--
		return status, answer, serviceDrop
	case s.faults.after > 0:
		s.faults.after--
		return status, answer, serviceCut
	}
	return status, answer, serviceAnswer
}

// admitFence returns whether the call's fencing number is not older than one
// that came for the same path.
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
