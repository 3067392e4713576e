package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher/overload"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

// choose picks the replica for the next attempt without a coordinator.
func (t *task) choose(ctx context.Context) (*replicas.Replica, bool) {
	f := t.proxy
	now := f.Clock.Now()
	accepting := replicas.Accepting(now, t.remainingCandidates())
	t.allBackingOff = len(accepting) == 0 && len(t.remainingCandidates()) > 0
	for _, e := range replicas.DetectOutliers(now, accepting) {
		f.Log.Event("ejected", "replica", e.ID(), "service", e.Service(), "samples", e.Samples, "failed", e.FailureRatio, "baseline", e.Baseline)
	}
	healthy := t.withMemory(t.withCapacity(replicas.Healthy(now, t.withinRateOrBlock(t.sendableOrBlock(now, accepting)))))
	candidates := t.candidates(now, healthy)
	var choice placing.Choice
	var ok bool
	if t.route.Cached && len(t.call.Prompt) > 0 {
		choice, ok = t.chooseByPrompt(ctx, healthy, candidates)
	} else {
		choice, ok = placing.Call{Zone: f.Zone, Seed: t.spread(), Latency: f.usualTimes.Latency(t.serviceName), Tokens: promptTokens(t.call.Prompt)}.Choose(candidates)
	}
	if !ok {
		return nil, false
	}
	t.choice, t.candidate = choice, candidates[choice.Index]
	t.candidateCount = len(candidates)
	r := healthy[choice.Index]
	t.chosenLoad = candidates[choice.Index].Load
	if t.route.Cached {
		r.AddPrefill(now, t.tokensToRead(choice))
	}
	return r, true
}

// candidates returns the state of the replicas that the choice is based on, in the same order.
func (t *task) candidates(now time.Time, healthy []*replicas.Replica) []placing.Candidate {
	out := make([]placing.Candidate, len(healthy))
	for i, r := range healthy {
		out[i] = placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Load: t.loadAt(r), Slots: r.Slots(), Prefill: r.PrefillBacklog(now)}
		out[i].Limited = t.proxy.RateLimit.Limited(r.Hash())
		if r.ReportsPace() {
			out[i].Pace = r.Pace(now)
		}
	}
	return out
}

// withCapacity returns the replicas that can take the request. Where loads are outdated and few model
// replicas have capacity by these, it returns all of them.
func (t *task) withCapacity(healthy []*replicas.Replica) []*replicas.Replica {
	kept := t.belowLoadLimit(healthy)
	outdated := t.isModelService() && t.proxy.Table.UsesReports()
	t.saturated = outdated && len(kept) > 0 && placing.Saturated(len(kept), len(healthy))
	if t.saturated {
		return healthy
	}
	return kept
}

// belowLoadLimit returns the replicas that can take the request without being overloaded.
func (t *task) belowLoadLimit(healthy []*replicas.Replica) []*replicas.Replica {
	r := overload.Request{Priority: t.priority(), Engine: t.isModelService(), Random: uniformHash(t.call.ID + "room")}
	if t.organisation != nil {
		r.Organisation = t.organisation.Name
	}
	kept := make([]*replicas.Replica, 0, len(healthy))
	for _, replica := range healthy {
		r.Slots = replica.Slots()
		if t.loadAt(replica) < t.proxy.Gate.Limit(r) {
			kept = append(kept, replica)
		}
	}
	t.allFull = len(kept) == 0 && len(healthy) > 0
	return kept
}

// loadAt returns the replica's number of requests, smoothed for plain services.
func (t *task) loadAt(r *replicas.Replica) int {
	if t.isModelService() {
		return r.Load()
	}
	return r.SmoothedLoad()
}

func (t *task) isModelService() bool {
	s, ok := t.doc.Services[t.serviceName]
	return ok && s.RunsModel
}

// chooseByPrompt picks a replica by the shared parts of the prompt and publishes the choice. If
// the replica does not hold the longest part, it gets the address of one from which it can fetch
// the parts.
func (t *task) chooseByPrompt(ctx context.Context, healthy []*replicas.Replica, candidates []placing.Candidate) (placing.Choice, bool) {
	shared := t.sharedParts()
	longest := shared[len(shared)-1].ID
	t.findHolders(ctx, longest)
	prompt := placing.Prompt{Key: longest, MaxLoadFactor: t.proxy.MaxLoadFactor, Holders: t.holders, Saturated: t.saturated, Limited: t.isRateLimited()}
	prompt.Excluded, prompt.ExcludedLoad = t.excludedLoad(candidates)
	for _, h := range t.cacheHolders {
		placing.AddRecent(candidates, h)
	}
	choice, ok := prompt.Choose(candidates)
	if !ok {
		return choice, false
	}
	chosen := healthy[choice.Index]
	t.source = ""
	if choice.Reason != placing.ReasonHolder {
		t.source = t.findSource(shared, chosen)
	}
	t.publishPlacement(shared, choice, chosen)
	return choice, true
}

// excludedLoad returns the number of the service's replicas that are not among the candidates, and
// the number of requests at them. Other routers may use them.
func (t *task) excludedLoad(candidates []placing.Candidate) (count, load int) {
	for _, list := range [][]*replicas.Replica{t.proxy.Table.Ready(t.serviceName), t.proxy.Table.Withheld(t.serviceName)} {
		count += len(list)
		for _, r := range list {
			load += t.loadAt(r)
		}
	}
	for _, c := range candidates {
		load -= c.Load
	}
	return count - len(candidates), max(load, 0) // loads change meanwhile
}

// findHolders finds the replicas that are assumed to hold the longest shared part, in the own
// directory and from another router, which is queried once per request.
func (t *task) findHolders(ctx context.Context, longest uint64) {
	if !t.queriedHolders {
		t.queriedHolders = true
		t.cacheHolders = t.proxy.CacheHolders(ctx, longest)
	}
	t.holders = t.proxy.Directory.Holders(longest)
	for _, h := range t.cacheHolders {
		if !slices.Contains(t.holders, h.Replica) {
			t.holders = append(t.holders, h.Replica)
		}
	}
}

// publishPlacement records the choice in the own directory and publishes it to other routers.
func (t *task) publishPlacement(shared []Part, choice placing.Choice, chosen *replicas.Replica) {
	for _, p := range shared {
		t.proxy.Directory.Place(placing.Placement{Key: p.ID, Replica: chosen.Hash()})
	}
	use := placing.SentToNewHolder
	if choice.Reason == placing.ReasonHolder {
		use = placing.SentToHolder
	}
	longest := shared[len(shared)-1].ID
	t.proxy.PublishPlacements(use, placing.Placement{Key: longest, Replica: chosen.Hash()})
}

// findSource returns the address of a replica from which the chosen one can fetch shared parts:
// one that holds the longest part held by any other replica. It returns "" if there is none, or
// if the chosen one itself holds as much.
func (t *task) findSource(shared []Part, chosen *replicas.Replica) string {
	holders := t.holders
	for i := len(shared) - 1; i >= 0; i-- {
		if i < len(shared)-1 {
			holders = t.proxy.Directory.Holders(shared[i].ID)
		}
		var best *replicas.Replica
		for _, hash := range holders {
			if hash == chosen.Hash() && i < len(shared)-1 {
				return "" // the chosen replica holds as much as any other
			}
			r, ok := t.proxy.Table.Source(hash)
			if ok && r != chosen && t.canBeSource(r) && (best == nil || nearer(r, best, chosen.Zone())) {
				best = r
			}
		}
		if best != nil {
			return best.Address()
		}
	}
	return ""
}

// canBeSource reports whether a replica can be expected to deliver parts, and is in a region from
// which the request may get them. One that is unreachable or has not answered recently would only
// delay the request.
func (t *task) canBeSource(r *replicas.Replica) bool {
	now := t.proxy.Clock.Now()
	return r.Service() == t.serviceName && t.inAllowedRegion(r) && !r.Unreachable() && !r.Ejected(now) && r.Alive(now)
}

// nearer reports whether source a is preferable to b: one in the zone first, then the one with
// less load.
func nearer(a, b *replicas.Replica, zone string) bool {
	if near := a.Zone() == zone; near != (b.Zone() == zone) {
		return near
	}
	return a.Load() < b.Load()
}

// sharedParts returns the parts of the prompt that may be shared with other requests: all but the
// last one, or the only one.
func (t *task) sharedParts() []Part {
	parts := t.call.Prompt
	if len(parts) >= 2 {
		return parts[:len(parts)-1]
	}
	return parts
}

// tokensToRead estimates the prompt tokens that the replica has to read: only the last part at a
// holder of the shared parts, else all.
func (t *task) tokensToRead(choice placing.Choice) int {
	parts := t.call.Prompt
	if len(parts) == 0 {
		return 0
	}
	if choice.Reason == placing.ReasonHolder {
		return parts[len(parts)-1].Tokens
	}
	return promptTokens(parts)
}

// promptTokens returns the sum of the parts' tokens.
func promptTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// spread returns a hash that distributes requests among nearly equal replicas.
func (t *task) spread() uint64 { return xxhash.Sum64String(t.call.ID) }
