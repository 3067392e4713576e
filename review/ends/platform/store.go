package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// store is the platform's metadata store, as PROTOCOL.md describes it, for reads of the system and
// writes of the operator and the replicas.
type store struct {
	addr string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
	server  *http.Server
	// down is set while the store answers nothing.
	down atomic.Bool
}

// newStore starts a store.
func newStore(addr string) (*store, error) {
	s := &store{addr: addr, rev: 10, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // ends with the process
	return s, nil
}

// put writes a key and returns when the store has accepted it.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: data, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.note(it)
	return s.rev
}

// note appends a change to the history and wakes the watches.
func (s *store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const interval = 20 * time.Millisecond
	for s.down.Load() && r.Context().Err() == nil {
		time.Sleep(interval)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"current-rev": rev})
			return
		}
		answer(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created": it.Created, "lease": it.Lease, "current-rev": rev})
	case "/-/kv-range":
		s.list(w, q.Get("path-prefix"), q.Get("after"))
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		answer(w, http.StatusBadRequest, map[string]any{})
	}
}

// list answers with the first page of the keys with a prefix that follow a key.
func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const most = 500
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > most
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), most)], "has-more": more, "current-rev": rev})
}

// watch answers with the changes after a revision as soon as there are any, or without changes in the end.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes an answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}
