package caller

import (
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httphead"
)

// unforwardedHeaders are the headers that the router does not forward: hop-by-hop
// headers and those that only the router uses.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "X-Fencing-Token", deadlineHeader, classHeader,
}

// handleService answers calls to plain services.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	started := s.Clock.Now()
	call, err := s.serviceCall(w, r)
	var answer ServiceAnswer
	if err == nil {
		w.Header().Set(requestHeader, string(call.ID))
		ctx, cancel := s.withDeadline(r.Context(), call.Deadline)
		defer cancel()
		answer, err = s.Services.Call(ctx, call)
	}
	if err == nil {
		err = falsePromise(call, answer)
	}
	out := Outcome{Organisation: call.Organisation, Service: r.PathValue("service"), Verdict: peridotusher.Ran, Complete: err == nil}
	fields := logrus.Fields{
		"request":      call.ID,
		"organisation": call.Organisation,
		"service":      r.PathValue("service"),
		"endpoint":     answer.Endpoint,
		"replayed":     answer.Replayed,
		"ms":           s.Clock.Now().Sub(started).Milliseconds(),
	}
	if err != nil {
		f := peridotusher.AsFailure(s.stoppedFailure(r.Context(), err))
		out.Verdict = f.Verdict()
		out.Cause = f.Cause()
		markReplayed(w, answer)
		writeFailure(w, f)
		s.Log.WithFields(fields).WithFields(logrus.Fields{"verdict": f.Verdict(), "cause": f.Cause(), "error": f.Error()}).Warn("call failed")
	} else {
		writeServiceAnswer(w, answer)
		s.Log.WithFields(fields).WithFields(logrus.Fields{"verdict": peridotusher.Ran, "status": answer.Status}).Info("call answered")
	}
	out.Duration = s.Clock.Now().Sub(started)
	out.InTime = out.Complete && !s.Clock.Now().After(call.Deadline)
	s.record(out)
}

// falsePromise returns the failure that takes the place of an answer by whose status callers would repeat
// a call that has run and must not be repeated, or nil for other answers.
func falsePromise(call ServiceCall, answer ServiceAnswer) error {
	if call.Service.Idempotent(call.Method, call.Path) || !httphead.PromisesNotRun(answer.Status) {
		return nil
	}
	return peridotusher.Fail(peridotusher.Ran, peridotusher.CauseEndpointError, "the endpoint ran the call and answered status %d", answer.Status)
}

func (s *Server) serviceCall(w http.ResponseWriter, r *http.Request) (ServiceCall, error) {
	call := ServiceCall{Document: s.Document(), ID: peridotusher.RequestID(s.NewID()), Method: r.Method, Path: "/" + r.PathValue("path"), Query: r.URL.RawQuery, Key: r.Header.Get(keyHeader)}
	org, err := s.authenticate(r, call.Document)
	if err != nil {
		return call, err
	}
	call.Organisation = org.Name()
	service, ok := call.Document.Service(r.PathValue("service"))
	if !ok {
		return call, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseUnknownRoute, "unknown service %q", r.PathValue("service"))
	}
	call.Service = service
	call.Deadline, err = s.deadlineOf(r, service.Deadline())
	if err != nil {
		return call, err
	}
	call.Header = forwardedHeaders(r.Header)
	call.Body, err = s.readBody(w, r)
	return call, err
}

// forwardedHeaders returns the headers that are forwarded to the endpoint, or back to
// the caller.
func forwardedHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, listed := range h.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func writeServiceAnswer(w http.ResponseWriter, answer ServiceAnswer) {
	for name, values := range forwardedHeaders(answer.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(verdictHeader, peridotusher.Ran.String())
	markReplayed(w, answer)
	w.WriteHeader(answer.Status)
	// A write error means that the caller has disconnected. The outcome is recorded anyway.
	_, _ = w.Write(answer.Body)
}

// markReplayed tells the caller if the answer is the recorded one of an earlier call with the same key.
func markReplayed(w http.ResponseWriter, answer ServiceAnswer) {
	if answer.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
}
