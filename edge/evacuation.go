package edge

import (
	"fmt"
	"io"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// evacuationsMost is the number of evacuations in a heartbeat and in the counters, far above
// the number of zones.
const evacuationsMost = 32

// evacuate applies changes of evacuations from the store.
func (r *Router) evacuate(keys replicas.EvacuationList, from string) {
	r.malformedAll(keys.MalformedKeys)
	r.evacuationsChanged(r.table.MergeEvacuations(keys.Evacuations), from)
}

// evacuateOnly applies the full list of evacuations in the store at a position. Evacuations
// that it lacks have ended, except shortly after an outage: like entries of replicas, those
// that a copy lacks get time to be written again.
func (r *Router) evacuateOnly(at peridotusher.Position, keys replicas.EvacuationList, from string) {
	if _, outage := r.reading.last(); r.clock.Now().Sub(outage) < outageMemory {
		r.evacuate(keys, from)
		return
	}
	r.malformedAll(keys.MalformedKeys)
	r.evacuationsChanged(r.table.MergeEvacuationSnapshot(at, keys.Evacuations), from)
}

// evacuateFromPeer applies evacuations that another router published.
func (r *Router) evacuateFromPeer(published []replicas.Evacuation, from string) {
	possible := slices.DeleteFunc(published, func(e replicas.Evacuation) bool { return !r.epoch.possible(e.Epoch) })
	r.evacuationsChanged(r.table.MergeEvacuations(possible), from)
}

// evacuationsChanged logs changes of evacuations that are new to this router, and publishes
// them at once.
func (r *Router) evacuationsChanged(changed []replicas.Evacuation, from string) {
	for _, e := range changed[:min(len(changed), changesLogged)] {
		known := r.countZone(e.Zone)
		r.Log.Event("evacuation", "zone", e.Zone, "active", e.Active, "replicas", known, "unknown", known == 0,
			"epoch", e.Epoch, "revision", e.Revision, "from", from)
	}
	if len(changed) > 0 {
		r.set.GetOrCreateCounter("peridotusher_evacuation_changes_total").Add(len(changed))
		r.node.Broadcast()
	}
}

// countZone counts the replicas of a zone.
func (r *Router) countZone(zone string) int {
	n := 0
	r.table.ForEach(func(replica *replicas.Replica) {
		if replica.Zone() == zone {
			n++
		}
	})
	return n
}

// evacuations returns the latest evacuations, at most as many as are published.
func (r *Router) evacuations() []replicas.Evacuation {
	all := r.table.Evacuations()
	return all[:min(len(all), evacuationsMost)]
}

// writeEvacuations writes for how long zones have been evacuated, and by which revision.
func (r *Router) writeEvacuations(w io.Writer) {
	for _, e := range r.evacuations() {
		if e.Active {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("peridotusher_evacuated_seconds{zone=%q,epoch=\"%d\",revision=\"%d\"}",
				e.Zone, e.Epoch, e.Revision), e.Age.Seconds())
		}
	}
}
