package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as PROTOCOL.md spells it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps all history and answers the reads
// that routers make: kv-key, kv-range and kv-watch.
type store struct {
	addr string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
	// gate, if set, decides for each call whether it is answered.
	gate func(r *http.Request) bool
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key and returns the revision.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setGate(gate func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = gate
}

// start serves on a free port of a loopback address.
func (s *store) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			gate := s.gate
			s.mu.Unlock()
			if gate != nil && !gate(r) {
				panic(http.ErrAbortHandler)
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return nil
}

func answer(w http.ResponseWriter, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created": it.Created, "lease": 0, "current-rev": rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	q := r.URL.Query()
	prefix, after := q.Get("path-prefix"), q.Get("after")
	s.mu.Lock()
	var out []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > pageSize
	if more {
		out = out[:pageSize]
	}
	if out == nil {
		out = []item{}
	}
	answer(w, map[string]any{"items": out, "has-more": more, "current-rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("path-prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
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
			answer(w, map[string]any{"events": events, "current-rev": events[len(events)-1].Rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
