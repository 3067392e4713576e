package standin

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/hosts"
)

// Hosts simulates the platform's list of live and leaving hosts.
type Hosts struct {
	Listener net.Listener
	Clock    peridotusher.Clock // the wall clock when nil
	Delay    time.Duration      // age of the list that is served

	mu       sync.Mutex
	versions []hostsVersion // in order of creation
	calls    int
	down     bool
}

// hostsVersion is a version of the list with the time of its creation.
type hostsVersion struct {
	from  time.Time
	hosts map[string]hosts.Host
}

// hostsGroup is the wire type of a host.
type hostsGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Run serves the list at every path until ctx is done.
func (s *Hosts) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", s.serve)
	return platformServe(ctx, s.Listener, mux)
}

// Set adds the host or replaces the host of the same name.
func (s *Hosts) Set(h hosts.Host) {
	s.change(func(list map[string]hosts.Host) { list[h.Name()] = h })
}

// SetState sets the state of the named host, if there is one.
func (s *Hosts) SetState(name string, state hosts.State) {
	s.change(func(list map[string]hosts.Host) {
		if h, ok := list[name]; ok {
			list[name] = h.WithState(state)
		}
	})
}

// Remove removes the named host.
func (s *Hosts) Remove(name string) {
	s.change(func(list map[string]hosts.Host) { delete(list, name) })
}

// SetDown makes the server refuse every request.
func (s *Hosts) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Calls returns the number of requests that arrived.
func (s *Hosts) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// change appends an edited version of the list.
func (s *Hosts) change(edit func(map[string]hosts.Host)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[string]hosts.Host{}
	if n := len(s.versions); n > 0 {
		list = maps.Clone(s.versions[n-1].hosts)
	}
	edit(list)
	s.versions = append(s.versions, hostsVersion{platformNow(s.Clock), list})
}

// serve answers with the list as it was Lag ago.
func (s *Hosts) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	list := s.visibleLocked()
	s.mu.Unlock()
	if down {
		http.Error(w, "host list unavailable", http.StatusServiceUnavailable)
		return
	}
	groups := []hostsGroup{}
	for _, name := range slices.Sorted(maps.Keys(list)) {
		h := list[name]
		groups = append(groups, hostsGroup{[]string{h.Address()}, h.Labels()})
	}
	tag := hostsTag(groups)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	platformAnswer(w, http.StatusOK, groups)
}

// hostsTag returns the entity tag of a list.
func hostsTag(groups []hostsGroup) string {
	return strconv.Quote(engineHash([]byte(engineJSON(groups))))
}

// visibleLocked returns the list as it was Lag ago and discards older versions.
func (s *Hosts) visibleLocked() map[string]hosts.Host {
	asOf := platformNow(s.Clock).Add(-s.Delay)
	visible := -1
	for i, v := range s.versions {
		if !v.from.After(asOf) {
			visible = i
		}
	}
	if visible < 0 {
		return nil
	}
	s.versions = s.versions[visible:]
	return s.versions[0].hosts
}

// Get returns the named host in the newest version of the list, ignoring Lag.
func (s *Hosts) Get(name string) (hosts.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) == 0 {
		return hosts.Host{}, false
	}
	h, ok := s.versions[len(s.versions)-1].hosts[name]
	return h, ok
}
