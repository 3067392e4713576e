package standin

import (
	"io"
	"net"
	"net/http"
	"time"
)

// engineFaults are the faults currently injected.
type engineFaults struct {
	silent        bool
	silentBelow   int // connections of generations below this one are silent
	generation    int // generation of new connections
	crashed       bool
	refuse        bool
	slow          float64
	load          *EngineLoadOverride
	rate          *float64 // accepted requests a second, nil without a limit
	crossedEvents int
	undelimited   bool // answers have neither a length nor chunks
	brokenStreams int  // next streams that end inside an event

	lateVersion string        // version whose new requests are delayed
	lateDelay   time.Duration // delay of these requests

	orderAnswersToLose int // next orders whose answers are dropped
}

// EngineLoadOverride replaces values in an Engine's load report.
type EngineLoadOverride struct {
	Running int
	Waiting int
	Work    int
}

// SetSilent stops or resumes all writes to the engine's connections. The batch
// continues to run.
func (e *Engine) SetSilent(on bool) {
	e.change(func(f *engineFaults) { f.silent = on })
}

// SilenceOpen permanently stops all writes to the requests that are open now.
func (e *Engine) SilenceOpen() {
	e.change(func(f *engineFaults) {
		f.generation++
		f.silentBelow = f.generation
	})
}

// SetCrashed closes the listener, resets every connection and discards every stream.
func (e *Engine) SetCrashed() {
	e.once.Do(e.prepare)
	e.mu.Lock()
	e.faults.crashed = true
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	for _, run := range e.runs {
		run.stop()
	}
	clear(e.runs)
	e.queue, e.batch = nil, nil
	e.mu.Unlock()
	e.Listener.Close()
	e.server.Close()
}

// RefuseNew makes the engine refuse new requests before running them.
func (e *Engine) RefuseNew(on bool) {
	e.change(func(f *engineFaults) { f.refuse = on })
}

// SetSlow multiplies the time of each step.
func (e *Engine) SetSlow(factor float64) {
	e.change(func(f *engineFaults) { f.slow = factor })
}

// ReportLoad overrides the load report; nil ends the override.
func (e *Engine) ReportLoad(o *EngineLoadOverride) {
	e.change(func(f *engineFaults) { f.load = o })
}

// LimitRate makes the engine report a number of requests a second that it accepts; nil ends
// the limit.
func (e *Engine) LimitRate(rate *float64) {
	e.change(func(f *engineFaults) { f.rate = rate })
}

// CrossEvents makes the engine write events of another stream in place of the next n.
func (e *Engine) CrossEvents(n int) {
	e.change(func(f *engineFaults) { f.crossedEvents = n })
}

// BreakStreams makes the engine close the connections of the next n streams inside an
// event.
func (e *Engine) BreakStreams(n int) {
	e.change(func(f *engineFaults) { f.brokenStreams = n })
}

// SetUndelimited makes new answers have neither a length nor chunks, so that they end
// with their connections.
func (e *Engine) SetUndelimited(on bool) {
	e.change(func(f *engineFaults) { f.undelimited = on })
}

// takeBrokenStream returns whether a stream that has events to write ends inside one of
// them.
func (e *Engine) takeBrokenStream() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.brokenStreams == 0 {
		return false
	}
	e.faults.brokenStreams--
	return true
}

// LoseOrderAnswers makes the engine apply the next n orders and close their
// connections without an answer.
func (e *Engine) LoseOrderAnswers(n int) {
	e.change(func(f *engineFaults) { f.orderAnswersToLose = n })
}

// SetLateVersion delays the start of new requests to a version by d.
func (e *Engine) SetLateVersion(version string, d time.Duration) {
	e.change(func(f *engineFaults) { f.lateVersion, f.lateDelay = version, d })
}

// change edits the faults and notifies the writers of streams.
func (e *Engine) change(edit func(*engineFaults)) {
	e.once.Do(e.prepare)
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.faults)
	for _, run := range e.runs {
		run.notify()
	}
}

// IsCrashed returns whether the engine has crashed.
func (e *Engine) IsCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashed
}

// trackConn records the open connections, which SetCrashed resets.
func (e *Engine) trackConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

// isSilent returns whether nothing is written to requests of the given generation.
// The caller holds e.mu.
func (f *engineFaults) isSilent(generation int) bool {
	return f.silent || generation < f.silentBelow
}

// withSilence leaves requests that arrive while the engine is silent unanswered.
func (e *Engine) withSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		silent := e.faults.silent
		e.mu.Unlock()
		if silent {
			io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}
