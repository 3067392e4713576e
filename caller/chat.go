package caller

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

// handleChat answers POST /v1/chat/completions, as a stream or as one JSON object.
func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	started := s.Clock.Now()
	call, body, class, err := s.chatCall(w, r)
	if err != nil {
		f := call.failure(err)
		writeFailure(w, f)
		s.logRequest(call.Request, "", f, s.Clock.Now().Sub(started))
		s.record(Outcome{Organisation: call.Request.Organisation, Class: call.Request.Class, Verdict: f.Verdict(), Cause: f.Cause()})
		return
	}
	w.Header().Set(requestHeader, string(call.Request.ID))
	ctx, cancel := s.withDeadline(r.Context(), call.Request.Deadline)
	defer cancel()
	defer s.limitWriteTime(w, call.Request.Deadline)()
	answer := &chatAnswer{w: w, streamed: body.Stream, clock: s.Clock, started: started}
	engine, err := s.answerChat(ctx, call, answer)
	if err != nil {
		err = s.stoppedFailure(r.Context(), err)
	}
	s.finishChat(call, class, answer, engine, err)
}

// chatCall builds the call from the request, or returns why the request is invalid.
func (s *Server) chatCall(w http.ResponseWriter, r *http.Request) (ChatCall, chatBody, *document.Class, error) {
	call := ChatCall{Document: s.Document(), LastEventID: r.Header.Get("Last-Event-ID")}
	call.Request.ID = peridotusher.RequestID(s.NewID())
	org, err := s.authenticate(r, call.Document)
	if err != nil {
		return call, chatBody{}, nil, err
	}
	call.Request.Organisation = org.Name()
	class, err := classOf(r, call.Document, org)
	if err != nil {
		return call, chatBody{}, nil, err
	}
	call.Request.Class = class.Name()
	call.Request.Work = class.Work()
	call.Request.Deadline, err = s.deadlineOf(r, class.Deadline())
	if err != nil {
		return call, chatBody{}, nil, err
	}
	call.Body, err = s.readBody(w, r)
	if err != nil {
		return call, chatBody{}, nil, err
	}
	body, err := parseChatBody(call.Body)
	if err != nil {
		return call, body, nil, err
	}
	if _, ok := call.Document.Model(body.Model); !ok {
		return call, body, nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseUnknownModel, "unknown model %q; GET /v1/models lists the models", body.Model)
	}
	if call.LastEventID != "" && !body.Stream {
		return call, body, nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "a Last-Event-ID resumes a stream; set the field stream to true")
	}
	call.Request.Model = body.Model
	call.Request.Chat = chatKey(r, org.Name(), body)
	return call, body, class, nil
}

// finishChat reports a failure to the caller, writes the request's log line and
// records its outcome.
func (s *Server) finishChat(call ChatCall, class *document.Class, answer *chatAnswer, engine string, err error) {
	took := s.Clock.Now().Sub(answer.started)
	out := Outcome{
		Organisation: call.Request.Organisation,
		Class:        call.Request.Class,
		Verdict:      peridotusher.Ran,
		Complete:     err == nil,
		FirstToken:   answer.firstToken,
		Duration:     took,
		PromptTokens: answer.usage.Prompt,
		CachedTokens: answer.usage.Details.Cached,
	}
	var f *peridotusher.Failure
	if err != nil {
		f = call.failure(err)
		answer.fail(f)
		out.Verdict = f.Verdict()
		out.Cause = f.Cause()
	}
	out.InTime = out.Complete && took <= class.Deadline()
	s.logRequest(call.Request, engine, f, took)
	s.record(out)
}

func (s *Server) record(out Outcome) {
	if s.Record != nil {
		s.Record(out)
	}
}

// logRequest writes the log line of a finished request.
func (s *Server) logRequest(req peridotusher.Request, engine string, f *peridotusher.Failure, took time.Duration) {
	entry := s.Log.WithFields(logrus.Fields{
		"request":      req.ID,
		"chat":         req.Chat,
		"organisation": req.Organisation,
		"class":        req.Class,
		"engine":       engine,
		"ms":           took.Milliseconds(),
	})
	if f == nil {
		entry.WithField("verdict", peridotusher.Ran).Info("request answered")
		return
	}
	entry.WithFields(logrus.Fields{"verdict": f.Verdict(), "cause": f.Cause(), "error": errors.UnwrapAll(f).Error()}).Warn("request failed")
}

// failure returns the failure that is reported to the caller. For a resumed stream
// its verdict takes into account that the stream has run before.
func (c ChatCall) failure(err error) *peridotusher.Failure {
	f := peridotusher.AsFailure(err)
	if c.LastEventID != "" {
		return f.AsResumed()
	}
	return f
}
