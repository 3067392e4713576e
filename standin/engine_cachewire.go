package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"peridotusher.example/peridotusher/pause"
)

// enginePublishInterval is the interval at which new cache events are polled.
const enginePublishInterval = 5 * time.Millisecond

// engineBlob is an exported prefix.
type engineBlob struct {
	Chat   string `json:"chat"`
	Tokens int    `json:"tokens"`
}

// serveCacheEvents streams the cache events, each delayed by EventDelay.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no sequence number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for r.Context().Err() == nil {
		for _, event := range e.cacheEvents(after) {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Sequence, engineJSON(event))
			after = event.Sequence
		}
		if control.Flush() != nil {
			return
		}
		pause.For(r.Context(), enginePublishInterval)
	}
}

// cacheEvents returns the events that are older than EventDelay, and none while the
// engine is silent.
func (e *Engine) cacheEvents(after uint64) []engineCacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.silent {
		return nil
	}
	return e.cache.published(after, e.Clock.Now().Add(-e.EventDelay))
}

// serveExport returns a chat's prefix.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	chat := r.URL.Query().Get("chat")
	e.mu.Lock()
	element := e.cache.byChat[chat]
	e.mu.Unlock()
	if element == nil {
		http.Error(w, "no such prefix", http.StatusNotFound)
		return
	}
	entry := element.Value.(*engineEntry)
	fmt.Fprint(w, engineJSON(engineBlob{Chat: chat, Tokens: entry.tokens}))
}

// serveImport stores a prefix that another engine exported.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob engineBlob
	err := json.NewDecoder(r.Body).Decode(&blob)
	if err != nil || blob.Chat != r.URL.Query().Get("chat") {
		http.Error(w, "not a prefix of this chat", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Imports++
	e.cache.store(blob.Chat, blob.Tokens, e.Clock.Now())
}
