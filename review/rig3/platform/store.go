package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the largest number of items on a page.
const maxPage = 500

// item is a key of the store, or a change of it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*time.Timer
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), leases: make(map[int64]*time.Timer), changed: make(chan struct{})}
}

// serve serves the store's calls until the listener is closed.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.getKey)
	mux.HandleFunc("GET /-/kv-range", s.getRange)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grantLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.endLease)
	_ = http.Serve(l, mux) // returns when the listener is closed
}

// put writes a key and returns the revision.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are the rig's own
	}
	return s.putText(key, string(data))
}

// putText writes a key and returns the revision.
func (s *store) putText(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, []byte(value), 0)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// write writes a key; s.mu is held.
func (s *store) write(key string, value []byte, lease int64) int64 {
	s.rev++
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.announce(it)
	return s.rev
}

// delete removes a key; s.mu is held.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.announce(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) announce(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"current-rev": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"current-rev"`
	}{it, rev})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path-prefix")) && key > q.Get("after") {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > maxPage
	answer(w, http.StatusOK, map[string]any{"items": out[:min(len(out), maxPage)], "has-more": more, "current-rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, changed := s.since(q.Get("path-prefix"), after), s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of keys with a prefix after a revision; s.mu is held.
func (s *store) since(prefix string, after int64) []item {
	out := []item{}
	for _, it := range s.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, it := range t.Writes {
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, it := range t.Writes {
		s.write(it.Key, it.Value, it.Lease)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	id, ttl := s.rev, time.Duration(max(in.TTL, 1000))*time.Millisecond
	s.leases[id] = time.AfterFunc(ttl, func() { s.expire(id) })
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.delete(key)
		}
	}
}

// leaseOf returns the id in the path of a call, and its timer.
func (s *store) leaseOf(r *http.Request) (id int64, timer *time.Timer) {
	id, _ = strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return id, s.leases[id]
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	_, timer := s.leaseOf(r)
	if timer == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	const ttl = 15 * time.Second
	timer.Reset(ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, timer := s.leaseOf(r)
	if timer == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	timer.Stop()
	s.expire(id)
	answer(w, http.StatusOK, map[string]any{})
}
