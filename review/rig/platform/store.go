package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
}

// store stands in for the platform's metadata store, as far as routers read it.
type store struct {
	address string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
}

func newStore(address string) *store {
	return &store{address: address, rev: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a key.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // only values of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: text, Rev: s.rev, Created: created}
	s.append(s.items[key])
}

// append records a change and wakes the watches; s.mu is held.
func (s *store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // "4 ms an answer"
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /-/kv-key":
		s.serveKey(w, q.Get("key"))
	case "GET /-/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"))
	case "GET /-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller has left
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		CurrentRev int64 `json:"current-rev"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > page
	if more {
		found = found[:page]
	}
	writeJSON(w, map[string]any{"items": found, "has-more": more, "current-rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
