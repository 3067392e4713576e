package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// engineDefaultTokens is the number of tokens of an answer whose request sets no limit.
const engineDefaultTokens = 16

// engineChatBody holds the fields of a chat-completions request that the engine uses.
type engineChatBody struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	MaxNew    int             `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
	Chat      string          `json:"prompt_cache_key"`
	Continue  bool            `json:"continue_final_message"`
}

// serveChat runs or resumes a chat completion.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		e.serveResume(w, r, last)
		return
	}
	var body engineChatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || !body.Stream {
		http.Error(w, "want a streamed chat completion", http.StatusBadRequest)
		return
	}
	messages, err := engineCanonical(body.Messages)
	if err != nil {
		http.Error(w, "messages are no JSON", http.StatusBadRequest)
		return
	}
	run := newEngineRun(r, body, messages)
	run.deadly = e.CrashOn != "" && bytes.Contains(messages, []byte(e.CrashOn))
	if body.Continue && !run.continueFrom(messages, max(body.MaxTokens, body.MaxNew) > 0) {
		http.Error(w, "the last message is no beginning of the answer", http.StatusBadRequest)
		return
	}
	if !e.accept(run, r.Header.Get("X-Model-Version")) {
		engineRefuse(w)
		return
	}
	e.wakeLoop()
	e.writeStream(w, r, run, 0)
}

// newEngineRun returns the run of a request.
func newEngineRun(r *http.Request, body engineChatBody, messages []byte) *engineRun {
	run := &engineRun{
		request:  r.Header.Get("X-Request-Id"),
		chat:     body.Chat,
		model:    body.Model,
		hash:     engineHash(messages),
		priority: body.Priority,
		prompt:   len(messages) / engineBytesPerToken,
		limit:    max(body.MaxTokens, body.MaxNew),
		work:     1,
		changed:  make(chan struct{}),
		readers:  1,
	}
	if run.limit <= 0 {
		run.limit = engineDefaultTokens
	}
	if work, err := strconv.Atoi(r.Header.Get("X-Work-Units")); err == nil && work > 0 {
		run.work = work
	}
	return run
}

// accept queues a run. It returns false if the engine refuses it.
func (e *Engine) accept(run *engineRun, version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.refuse || e.faults.crashed || !e.orders.serves(run.model, version, e.Clock.Now()) {
		return false
	}
	run.version = e.orders.version(run.model, version, e.Clock.Now())
	e.stats.LastAccept = e.Clock.Now()
	e.stats.Versions[run.request] = run.version
	if run.version == e.faults.lateVersion {
		run.notBefore = e.Clock.Now().Add(e.faults.lateDelay)
	}
	e.count++
	run.stream = fmt.Sprintf("%s-%x-%d", e.Name, e.Seed, e.count)
	e.runs[run.stream] = run
	e.queue = append(e.queue, run)
	e.sample()
	return true
}

// engineRefuse sends the answer of a request that was refused and not run.
func engineRefuse(w http.ResponseWriter) {
	w.Header().Set("X-Verdict", "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// serveResume resumes a stream after the last event that the client received. The
// offset -1 means that it received none.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, last string) {
	i := strings.LastIndexByte(last, ':')
	offset, err := strconv.Atoi(last[i+1:])
	if i < 0 || err != nil || offset < -1 {
		http.Error(w, "no event id", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.runs[last[:i]]
	if run != nil {
		run.readers++
	}
	e.mu.Unlock()
	if run == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.writeStream(w, r, run, offset+1)
}

// serveCancel cancels a stream.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := e.runs[r.PathValue("id")]
	if run == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.cancelRun(run)
	w.WriteHeader(http.StatusOK)
}

// writeStream writes a run's events from the given offset until it ends or
// the client disconnects. The run continues without the client.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, run *engineRun, next int) {
	defer e.detachReader(run)
	e.mu.Lock()
	generation := e.faults.generation
	undelimited := e.faults.undelimited
	e.mu.Unlock()
	header := w.Header()
	if undelimited {
		header.Set("Transfer-Encoding", "identity")
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Stream-Id", run.stream)
	header.Set("X-Request-Id", run.request)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for {
		if control.Flush() != nil {
			return
		}
		text, count, ended, changed := e.readyEvents(run, next, generation)
		next += count
		if count == 0 && !ended {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
			continue
		}
		if count > 0 && e.takeBrokenStream() {
			_, _ = w.Write([]byte(strings.TrimSuffix(text, "\n"))) // the connection is closed anyway
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(text)); err != nil || ended {
			return
		}
	}
}

// readyEvents returns the text of the generated events from the offset next on,
// their number, whether the stream ends with them, and a channel that is closed at
// the run's next change.
func (e *Engine) readyEvents(run *engineRun, next, generation int) (string, int, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.isSilent(generation) {
		return "", 0, false, run.changed
	}
	var text strings.Builder
	count := 0
	for offset := next; offset < len(run.events); offset++ {
		text.WriteString(e.eventText(run, offset))
		count++
	}
	if run.ended && !run.stopped {
		fmt.Fprintf(&text, "id: %s:%d\ndata: [DONE]\n\n", run.stream, len(run.events))
	}
	return text.String(), count, run.ended, run.changed
}

// eventText returns an event of the run, or one of another stream if Cross demands it.
func (e *Engine) eventText(run *engineRun, offset int) string {
	if e.faults.crossedEvents == 0 {
		return fmt.Sprintf("id: %s:%d\ndata: %s\n\n", run.stream, offset, run.events[offset])
	}
	e.faults.crossedEvents--
	for _, other := range e.runs {
		if other != run && len(other.events) > 0 {
			return fmt.Sprintf("id: %s:0\ndata: %s\n\n", other.stream, other.events[0])
		}
	}
	return fmt.Sprintf("id: %s-other:0\ndata: %s\n\n", e.Name, run.events[offset])
}

// detachReader records that a reader has disconnected.
func (e *Engine) detachReader(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.readers--
	run.idleAt = e.Clock.Now()
}
