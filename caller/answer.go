package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// chatAnswer writes one chat answer to the caller, as a stream of events or as one
// JSON object.
type chatAnswer struct {
	w               http.ResponseWriter
	streamed        bool
	clock           peridotusher.Clock
	started         time.Time
	firstToken      time.Duration
	responseStarted bool // the status line may have been sent
	builder         completionBuilder
	usage           tokenUsage
	buffer          []byte // buffer of the last event, for reuse
}

// maxReusedBuffer is the capacity in bytes above which an event's buffer is not reused.
const maxReusedBuffer = 2 << 10

// answerChat runs the call and copies its events to the caller. It returns
// the engine that answered.
func (s *Server) answerChat(ctx context.Context, call ChatCall, answer *chatAnswer) (string, error) {
	stream, err := s.Chats.Chat(ctx, call)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Engine(), answer.finish()
		}
		if err != nil {
			return stream.Engine(), err
		}
		if err := answer.writeEvent(event); err != nil {
			return stream.Engine(), err
		}
	}
}

// writeEvent writes one chunk to the caller, or collects it if the answer is not
// streamed.
func (a *chatAnswer) writeEvent(e ChatEvent) error {
	if a.firstToken == 0 {
		a.firstToken = a.clock.Now().Sub(a.started)
	}
	a.usage.read(e.Data)
	if !a.streamed {
		return a.builder.add(e.Data)
	}
	a.startResponse()
	if _, err := a.w.Write(a.encodeEvent(e)); err != nil {
		return callerDisconnected(err)
	}
	return a.flush()
}

// encodeEvent returns the server-sent event. The buffer is valid until the next call.
func (a *chatAnswer) encodeEvent(e ChatEvent) []byte {
	b := a.buffer[:0]
	if e.ID != "" {
		b = append(b, "id: "...)
		b = append(b, e.ID...)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, e.Data...)
	b = append(b, "\n\n"...)
	if cap(b) <= maxReusedBuffer {
		a.buffer = b
	}
	return b
}

// finish ends a complete answer.
func (a *chatAnswer) finish() error {
	if !a.streamed {
		body, err := a.builder.build()
		if err != nil {
			return err
		}
		a.responseStarted = true
		writeJSON(a.w, http.StatusOK, body)
		return nil
	}
	a.startResponse()
	if _, err := io.WriteString(a.w, "data: [DONE]\n\n"); err != nil {
		return callerDisconnected(err)
	}
	return a.flush()
}

// fail reports a failure to the caller: by status, or by an error event once the
// stream has started.
func (a *chatAnswer) fail(f *peridotusher.Failure) {
	if !a.responseStarted {
		writeFailure(a.w, f)
		return
	}
	if !a.streamed {
		return
	}
	data, err := json.Marshal(newErrorBody(f))
	if err != nil {
		return
	}
	// A write error means that the caller has disconnected.
	_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
	_ = a.flush()
}

func (a *chatAnswer) startResponse() {
	if a.responseStarted {
		return
	}
	a.responseStarted = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *chatAnswer) flush() error {
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

// callerDisconnected returns the Failure of an answer that could not be written.
func callerDisconnected(err error) error {
	return peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseCallerDisconnected, errors.Wrap(err, "writing to the caller"))
}
