package operator

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// nameTable bounds the values of a label. The first organisations that send
// requests have names; one that was quiet for the idle time gives its name to
// the next, and all others are counted together.
type nameTable struct {
	limit int
	idle  time.Duration

	mu   sync.Mutex
	last map[string]time.Time // last request by name
	next time.Time            // when an idle name is looked for again
}

func newNameTable(limit int, idle time.Duration) *nameTable {
	return &nameTable{limit: limit, idle: idle, last: map[string]time.Time{}}
}

// name returns the label's value for an organisation, and the organisation
// that lost its name to it, if any.
func (t *nameTable) name(organisation string, now time.Time) (string, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.last[organisation]; ok || len(t.last) < t.limit {
		t.last[organisation] = now
		return organisation, ""
	}
	evicted := t.evict(now)
	if evicted == "" {
		return peridotusher.OtherOrganisations, ""
	}
	t.last[organisation] = now
	return organisation, evicted
}

// evict takes the name of an idle organisation. It searches once a minute at most.
func (t *nameTable) evict(now time.Time) string {
	if now.Before(t.next) {
		return ""
	}
	for name, last := range t.last {
		if now.Sub(last) >= t.idle {
			delete(t.last, name)
			return name
		}
	}
	t.next = now.Add(time.Minute)
	return ""
}
