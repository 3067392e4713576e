package relay

import (
	"slices"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// regionLimits returns the limits that restrict the request: that of the route and that of the
// organisation, the latter also on a public route.
func (t *task) regionLimits() []routing.RegionLimit {
	var limits []routing.RegionLimit
	if t.route.Regions.Limited() {
		limits = append(limits, t.route.Regions)
	}
	holder := t.organisation
	if holder == nil {
		holder, _ = t.doc.Organisation(t.call.Key)
	}
	if holder != nil && holder.Regions.Limited() {
		limits = append(limits, holder.Regions)
	}
	return limits
}

// inAllowedRegion reports whether a replica is in a region that the request may be sent to. A
// zone without a region is never allowed if the request is restricted.
func (t *task) inAllowedRegion(r *replicas.Replica) bool {
	if len(t.allowedRegions) == 0 {
		return true
	}
	region, ok := t.proxy.Regions[r.Zone()]
	for _, limit := range t.allowedRegions {
		if !ok || !limit.Allows(region) {
			return false
		}
	}
	return true
}

// allowedByRegion returns the replicas in regions that the request may be sent to.
func (t *task) allowedByRegion(all []*replicas.Replica) []*replicas.Replica {
	if len(t.allowedRegions) == 0 {
		return all
	}
	kept := make([]*replicas.Replica, 0, len(all))
	for _, r := range all {
		if t.inAllowedRegion(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// noReplicaReason returns why no replica gets the request, as it is answered and logged.
func (t *task) noReplicaReason() string {
	table := t.proxy.Table
	switch {
	case t.cold.blocked:
		return "cold"
	case t.rateBlocked:
		return "limit"
	case t.allFull, t.retryAfter > 0:
		return "overload"
	case t.allBackingOff:
		return "backoff"
	case len(t.remainingCandidates()) > 0:
		return "no_replica"
	case slices.ContainsFunc(table.Withheld(t.serviceName), t.inAllowedRegion):
		return "evacuated"
	case len(t.tried) == 0 && len(table.Ready(t.serviceName))+len(table.Withheld(t.serviceName)) > 0:
		return "region"
	}
	return "no_replica"
}
