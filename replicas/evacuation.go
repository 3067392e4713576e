package replicas

import (
	"cmp"
	"slices"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// endPublishTTL is how long the end of an evacuation is published to other routers.
	endPublishTTL = time.Minute
	// maxEvacuations is the number of zones above which ended evacuations are removed, the
	// oldest first.
	maxEvacuations = 1024
)

// Evacuation is the state of an availability zone as of a change of the platform's store.
// During an evacuation the zone's replicas get no requests.
type Evacuation struct {
	Zone string
	// Active is set while the evacuation is in force.
	Active bool
	// Epoch and Revision identify the change of the store, or the read in which the zone's
	// key was missing.
	Epoch, Revision int64
	// Age is the time since the change first became known to a router.
	Age time.Duration
}

// EvacuationList holds the evacuations that were decoded from the store's keys.
type EvacuationList struct {
	Evacuations []Evacuation
	// MalformedKeys holds the keys without a valid zone or value.
	MalformedKeys []string
}

// at returns the position in the store's history that the evacuation describes.
func (e *Evacuation) at() peridotusher.Position {
	return peridotusher.Position{Epoch: e.Epoch, Revision: e.Revision}
}

// supersedes reports whether an evacuation takes precedence over another one of the same
// zone. If both have the same position, which only a fault can cause, an active one does.
func (e *Evacuation) supersedes(o *Evacuation) bool {
	return e.at().After(o.at()) || e.at() == o.at() && e.Active && !o.Active
}

// evacuationRecord is the table's state of one zone.
type evacuationRecord struct {
	Evacuation
	since           time.Time // when the evacuation began or ended
	publishReasonAt time.Time // an ended evacuation is published for endPublishTTL from then
}

// MergeEvacuations merges evacuations, which may arrive in any order, and returns those that changed
// which replicas get requests.
func (t *Table) MergeEvacuations(list []Evacuation) []Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeEvacuations(list)
}

// MergeEvacuationSnapshot merges the complete list of evacuations in the store at a position: those
// that are not in the list have ended. It returns the evacuations that changed which
// replicas get requests.
func (t *Table) MergeEvacuationSnapshot(at peridotusher.Position, list []Evacuation) []Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Zone] = true
	}
	all := slices.Clone(list)
	for zone, known := range t.evacuations {
		if known.Active && !listed[zone] {
			all = append(all, Evacuation{Zone: zone, Epoch: at.Epoch, Revision: at.Revision})
		}
	}
	return t.mergeEvacuations(all)
}

// mergeEvacuations merges evacuations and returns those that changed which replicas get
// requests; t.mu is held.
func (t *Table) mergeEvacuations(list []Evacuation) []Evacuation {
	now := t.clock.Now()
	var changed []Evacuation
	for _, e := range list {
		if t.mergeEvacuation(now, e) {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		t.rebuildView()
	}
	t.trimEvacuations()
	return changed
}

// mergeEvacuation merges one evacuation and reports whether it changed which replicas get
// requests; t.mu is held.
func (t *Table) mergeEvacuation(now time.Time, e Evacuation) bool {
	known, ok := t.evacuations[e.Zone]
	switch {
	case !ok:
		known = &evacuationRecord{}
	case !e.supersedes(&known.Evacuation):
		if e.Active && !known.Active {
			known.publishReasonAt = now // the sender missed the end
		}
		return false
	case known.Active == e.Active:
		known.Epoch, known.Revision = e.Epoch, e.Revision
		return false
	}
	since := now.Add(-e.Age)
	t.evacuations[e.Zone] = &evacuationRecord{Evacuation: e, since: since, publishReasonAt: since}
	if !e.Active && e.Age < endPublishTTL {
		t.assumeZoneCold(now, e.Zone, e.at())
	}
	return e.Active || known.Active
}

// trimEvacuations removes the oldest ended evacuations if there are more than
// maxEvacuations; t.mu is held. Until then they are kept, so that a router that was
// partitioned for a long time does not start an ended evacuation again.
func (t *Table) trimEvacuations() {
	if len(t.evacuations) <= maxEvacuations {
		return
	}
	var ended []*evacuationRecord
	for _, known := range t.evacuations {
		if !known.Active {
			ended = append(ended, known)
		}
	}
	slices.SortFunc(ended, func(a, b *evacuationRecord) int { return a.since.Compare(b.since) })
	for _, known := range ended[:min(len(ended), len(t.evacuations)-maxEvacuations)] {
		delete(t.evacuations, known.Zone)
	}
}

// Evacuations returns the evacuations to publish, the latest first: those in force, those
// that ended within endPublishTTL, and those that another router still published as in force
// within that time.
func (t *Table) Evacuations() []Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []Evacuation
	for _, known := range t.evacuations {
		if known.Active || now.Sub(known.publishReasonAt) < endPublishTTL {
			e := known.Evacuation
			e.Age = max(now.Sub(known.since), 0)
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Evacuation) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Zone, b.Zone))
	})
	return list
}

// Evacuated reports whether the zone's replicas get no requests.
func (t *Table) Evacuated(zone string) bool { return t.view.Load().evacuatedZones[zone] }

// Withheld returns the replicas of a service that get no requests only because their zone is
// evacuated. The slice must not be changed.
func (t *Table) Withheld(service string) []*Replica { return t.view.Load().withheld[service] }

// activeEvacuations returns the set of zones with an evacuation in force; t.mu is held.
func (t *Table) activeEvacuations() map[string]bool {
	zones := make(map[string]bool)
	for zone, known := range t.evacuations {
		if known.Active {
			zones[zone] = true
		}
	}
	return zones
}
