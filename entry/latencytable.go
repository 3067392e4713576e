package entry

import (
	"sync"

	"peridotusher.example/peridotusher"
)

// latencyTable holds the latencies of idempotent calls by service name.
type latencyTable struct {
	mu     sync.Mutex
	byName map[string]*peridotusher.Latencies
}

// of returns the latencies of a service.
func (t *latencyTable) of(service string) *peridotusher.Latencies {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byName == nil {
		t.byName = map[string]*peridotusher.Latencies{}
	}
	l, ok := t.byName[service]
	if !ok {
		l = &peridotusher.Latencies{}
		t.byName[service] = l
	}
	return l
}
