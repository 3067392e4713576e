package edge

import (
	"fmt"
	"io"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// maxEvacuations limits the evacuations in a heartbeat and in the metrics. It is far above the
// number of zones.
const maxEvacuations = 32

// mergeEvacuations applies changes of evacuations that the store reported.
func (r *Router) mergeEvacuations(keys replicas.EvacuationList, from string) {
	r.logMalformedKeys(keys.MalformedKeys)
	r.publishEvacuations(r.table.MergeEvacuations(keys.Evacuations), from)
}

// mergeEvacuationSnapshot applies the complete list of evacuations in the store at a position.
// Evacuations that the list lacks have ended, except shortly after an outage: like the entries of
// replicas, evacuations that a backup lacks get time to be written again.
func (r *Router) mergeEvacuationSnapshot(at peridotusher.Position, keys replicas.EvacuationList, from string) {
	if r.sinceOutage() < outageGracePeriod {
		r.mergeEvacuations(keys, from)
		return
	}
	r.logMalformedKeys(keys.MalformedKeys)
	r.publishEvacuations(r.table.MergeEvacuationSnapshot(at, keys.Evacuations), from)
}

// mergePeerEvacuations applies evacuations that another router published.
func (r *Router) mergePeerEvacuations(published []replicas.Evacuation, from string) {
	possible := slices.DeleteFunc(published, func(e replicas.Evacuation) bool { return !r.epoch.plausible(e.Epoch) })
	r.publishEvacuations(r.table.MergeEvacuations(possible), from)
}

// publishEvacuations logs changes of evacuations that are new to this router, and publishes them
// at once.
func (r *Router) publishEvacuations(changed []replicas.Evacuation, from string) {
	for _, e := range changed[:min(len(changed), maxChangesLogged)] {
		known := r.countReplicasInZone(e.Zone)
		r.Log.Event("evacuation", "zone", e.Zone, "active", e.Active, "replicas", known, "unknown", known == 0,
			"epoch", e.Epoch, "revision", e.Revision, "from", from)
	}
	if len(changed) > 0 {
		r.metricSet.GetOrCreateCounter("peridotusher_evacuation_changes_total").Add(len(changed))
		r.node.Broadcast()
	}
}

// countReplicasInZone counts the replicas of a zone.
func (r *Router) countReplicasInZone(zone string) int {
	n := 0
	r.table.ForEach(func(replica *replicas.Replica) {
		if replica.Zone() == zone {
			n++
		}
	})
	return n
}

// evacuations returns the latest evacuations, up to maxEvacuations.
func (r *Router) evacuations() []replicas.Evacuation {
	all := r.table.Evacuations()
	return all[:min(len(all), maxEvacuations)]
}

// writeEvacuations writes a gauge of how long each zone has been evacuated, with the revision.
func (r *Router) writeEvacuations(w io.Writer) {
	for _, e := range r.evacuations() {
		if e.Active {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("peridotusher_evacuated_seconds{zone=%q,epoch=\"%d\",revision=\"%d\"}",
				e.Zone, e.Epoch, e.Revision), e.Age.Seconds())
		}
	}
}
