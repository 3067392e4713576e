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

// chatAnswer writes one chat answer, as a stream of events or as one object.
type chatAnswer struct {
	w          http.ResponseWriter
	streamed   bool
	clock      peridotusher.Clock
	started    time.Time
	firstToken time.Duration
	begun      bool // bytes have gone to the caller
	whole      wholeAnswer
	usage      tokenUsage
	buffer     []byte // of the last event
}

// keptBuffer is the largest buffer in bytes that is kept from event to event.
const keptBuffer = 2 << 10

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
			return stream.Engine(), answer.end()
		}
		if err != nil {
			return stream.Engine(), err
		}
		if err := answer.event(event); err != nil {
			return stream.Engine(), err
		}
	}
}

// event passes one chunk on.
func (a *chatAnswer) event(e ChatEvent) error {
	if a.firstToken == 0 {
		a.firstToken = a.clock.Now().Sub(a.started)
	}
	a.usage.read(e.Data)
	if !a.streamed {
		return a.whole.add(e.Data)
	}
	a.begin()
	if _, err := a.w.Write(a.text(e)); err != nil {
		return callerGone(err)
	}
	return a.flush()
}

// text returns the server-sent event, in a buffer that the next one reuses.
func (a *chatAnswer) text(e ChatEvent) []byte {
	b := a.buffer[:0]
	if e.ID != "" {
		b = append(b, "id: "...)
		b = append(b, e.ID...)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, e.Data...)
	b = append(b, "\n\n"...)
	if cap(b) <= keptBuffer {
		a.buffer = b
	}
	return b
}

// end closes a whole answer.
func (a *chatAnswer) end() error {
	if !a.streamed {
		body, err := a.whole.body()
		if err != nil {
			return err
		}
		a.begun = true
		writeJSON(a.w, http.StatusOK, body)
		return nil
	}
	a.begin()
	if _, err := io.WriteString(a.w, "data: [DONE]\n\n"); err != nil {
		return callerGone(err)
	}
	return a.flush()
}

// fail tells the caller of a failure: by status, or by an error event once
// the stream has begun.
func (a *chatAnswer) fail(f *peridotusher.Failure) {
	if !a.begun {
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
	// The caller may be gone; there is nobody to tell.
	_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
	_ = a.flush()
}

func (a *chatAnswer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *chatAnswer) flush() error {
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) error {
	return peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseCallerDisconnected, errors.Wrap(err, "writing to the caller"))
}
