package standin

import (
	"io"
	"net"
	"net/http"
	"time"
)

// engineFaults are the faults switched on.
type engineFaults struct {
	silent   bool
	silenced int // connections of generations below this one are silent
	opened   int // current generation
	crashed  bool
	refuse   bool
	slow     float64
	load     *EngineLoadOverride
	cross    int

	lateVersion string        // version whose requests wait before they run
	late        time.Duration // how long they wait

	loseOrders int // orders whose answers get lost
}

// EngineLoadOverride replaces figures of an Engine's load report.
type EngineLoadOverride struct {
	Running int
	Waiting int
	Work    int
}

// SetSilent stops or restarts every write to the engine's connections. The
// batch goes on.
func (e *Engine) SetSilent(on bool) {
	e.change(func(f *engineFaults) { f.silent = on })
}

// SilenceOpen makes the requests that are open now silent for good.
func (e *Engine) SilenceOpen() {
	e.change(func(f *engineFaults) {
		f.opened++
		f.silenced = f.opened
	})
}

// SetCrashed closes the listener, resets every connection and forgets every stream.
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

// Cross makes the engine write events of another stream in place of the next n.
func (e *Engine) Cross(n int) {
	e.change(func(f *engineFaults) { f.cross = n })
}

// LoseOrderAnswers makes the engine apply the next n orders without an answer.
func (e *Engine) LoseOrderAnswers(n int) {
	e.change(func(f *engineFaults) { f.loseOrders = n })
}

// SetLateVersion makes the new requests to a version wait before they run.
func (e *Engine) SetLateVersion(version string, d time.Duration) {
	e.change(func(f *engineFaults) { f.lateVersion, f.late = version, d })
}

// change edits the faults and tells the writers of streams.
func (e *Engine) change(edit func(*engineFaults)) {
	e.once.Do(e.prepare)
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.faults)
	for _, run := range e.runs {
		run.notify()
	}
}

// crashed returns whether SetCrashed was called.
func (e *Engine) crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashed
}

// trackConn keeps the table of open connections for SetCrashed.
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

// isSilent returns whether a request of the given generation gets no bytes.
// The caller holds e.mu.
func (f *engineFaults) isSilent(generation int) bool {
	return f.silent || generation < f.silenced
}

// withSilence holds every request that arrives while the engine is silent.
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
