package caller

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

// The headers that callers may send. The answer carries requestHeader too.
const (
	classHeader    = "X-Class"
	chatHeader     = "X-Chat-Id"
	deadlineHeader = "X-Deadline-Ms"
	requestHeader  = "X-Request-Id"
	keyHeader      = "Idempotency-Key"
)

// authenticate returns the organisation of the request's bearer key.
func (s *Server) authenticate(r *http.Request, doc *document.Document) (*document.Organisation, error) {
	if doc == nil {
		f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseNoEndpoint, "this entry host has no configuration yet")
		return nil, f.WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadKey, "send the organisation's key as Authorization: Bearer KEY")
	}
	org, ok := doc.OrganisationByKey(key)
	if !ok {
		return nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadKey, "the key belongs to no organisation; ask your operator for a valid one")
	}
	return org, nil
}

// readBody reads the complete body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	if s.Limits.BodyTimeout > 0 {
		// If the connection supports no deadlines, reading has no time limit.
		_ = control.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.Limits.BodyBytes))
	r.Trailer = nil // not used, and many times its bytes in memory
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseTooLarge, "the body is larger than %d bytes; send less", s.Limits.BodyBytes)
	}
	if err != nil {
		return nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseBadRequest, errors.Wrap(err, "the body did not arrive whole in time"))
	}
	return body, nil
}

// classOf returns the class that the request names, or the organisation's default.
func classOf(r *http.Request, doc *document.Document, org *document.Organisation) (*document.Class, error) {
	name := r.Header.Get(classHeader)
	if name == "" {
		name = org.DefaultClass()
	}
	class, ok := doc.Class(name)
	if !ok {
		return nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "unknown class %q in header %s", name, classHeader)
	}
	if allowed := org.Classes(); len(allowed) > 0 && !slices.Contains(allowed, name) {
		return nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "class %q is not allowed for this organisation; allowed: %s", name, strings.Join(allowed, ", "))
	}
	return class, nil
}

// deadlineOf returns the deadline of the answer: after limit, or earlier if the
// caller's deadline header asks for less. It returns an error if the request must not be accepted.
func (s *Server) deadlineOf(r *http.Request, limit time.Duration) (time.Time, error) {
	text := r.Header.Get(deadlineHeader)
	if text == "" {
		deadline := s.Clock.Now().Add(limit)
		return deadline, s.checkStop(deadline)
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "header %s must be a positive number of milliseconds", deadlineHeader)
	}
	requested := time.Duration(ms) * time.Millisecond
	deadline := s.Clock.Now().Add(min(requested, limit))
	return deadline, s.checkStop(deadline)
}
