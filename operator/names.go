package operator

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// nameTable bounds the number of values of the label organisation. The first organisations
// that send requests get a value of their own. Once the table is full, a new organisation
// replaces one that has been idle for idleTime, and if there is none, it is counted under
// peridotusher.OtherOrganisations.
type nameTable struct {
	limit    int
	idleTime time.Duration

	mu          sync.Mutex
	lastRequest map[string]time.Time // time of the last request, by organisation
	nextSearch  time.Time            // earliest time of the next search for an idle organisation
}

func newNameTable(limit int, idle time.Duration) *nameTable {
	return &nameTable{limit: limit, idleTime: idle, lastRequest: map[string]time.Time{}}
}

// name returns the label value for an organisation, and the organisation that was evicted
// for it, if any.
func (t *nameTable) name(organisation string, now time.Time) (string, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.lastRequest[organisation]; ok || len(t.lastRequest) < t.limit {
		t.lastRequest[organisation] = now
		return organisation, ""
	}
	evicted := t.evict(now)
	if evicted == "" {
		return peridotusher.OtherOrganisations, ""
	}
	t.lastRequest[organisation] = now
	return organisation, evicted
}

// evict removes an idle organisation and returns it, empty if there is none. After a search
// without success it waits a minute before the next.
func (t *nameTable) evict(now time.Time) string {
	if now.Before(t.nextSearch) {
		return ""
	}
	for name, last := range t.lastRequest {
		if now.Sub(last) >= t.idleTime {
			delete(t.lastRequest, name)
			return name
		}
	}
	t.nextSearch = now.Add(time.Minute)
	return ""
}
