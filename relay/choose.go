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

// choose picks the next replica for the request.
func (t *task) choose(ctx context.Context) (*replicas.Replica, bool) {
	f := t.front
	now := f.Clock.Now()
	accepting := replicas.Accepting(now, t.untried())
	t.backingOff = len(accepting) == 0 && len(t.untried()) > 0
	for _, e := range replicas.DetectOutliers(now, accepting) {
		f.Log.Event("ejected", "replica", e.ID(), "service", e.Service(), "samples", e.Samples, "failed", e.Failed, "baseline", e.Baseline)
	}
	healthy := t.withMemory(t.withRoom(replicas.Healthy(now, t.withShare(now, accepting))))
	candidates := t.candidates(now, healthy)
	var choice placing.Choice
	var ok bool
	if t.route.Cached && len(t.call.Prompt) > 0 {
		choice, ok = t.choosePrompt(ctx, healthy, candidates)
	} else {
		choice, ok = placing.Call{Zone: f.Zone, Seed: t.spread(), Latency: f.usual.Latency(t.serviceName), Tokens: promptTokens(t.call.Prompt)}.Choose(candidates)
	}
	if !ok {
		return nil, false
	}
	t.choice, t.candidate = choice, candidates[choice.Index]
	r := healthy[choice.Index]
	t.load = candidates[choice.Index].Load
	if t.route.Cached {
		r.AddPrefill(now, t.unsharedTokens(choice))
	}
	return r, true
}

// candidates returns what is known of the replicas for a choice, in their order.
func (t *task) candidates(now time.Time, healthy []*replicas.Replica) []placing.Candidate {
	out := make([]placing.Candidate, len(healthy))
	for i, r := range healthy {
		out[i] = placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Load: t.loadAt(r), Slots: r.Slots(), Prefill: r.Prefill(now)}
		if r.ReportsPace() {
			out[i].Pace = r.Pace(now)
		}
	}
	return out
}

// withRoom returns the replicas that may get the request without being
// overloaded.
func (t *task) withRoom(healthy []*replicas.Replica) []*replicas.Replica {
	r := overload.Request{Priority: t.priority(), Engine: t.engine(), Random: uniform(t.call.ID + "room")}
	if t.organisation != nil {
		r.Organisation = t.organisation.Name
	}
	kept := make([]*replicas.Replica, 0, len(healthy))
	for _, replica := range healthy {
		r.Slots = replica.Slots()
		if t.loadAt(replica) < t.front.Gate.Limit(r) {
			kept = append(kept, replica)
		}
	}
	t.full = len(kept) == 0 && len(healthy) > 0
	return kept
}

// loadAt returns the number of requests at a replica as far as it counts for this one.
func (t *task) loadAt(r *replicas.Replica) int {
	if t.engine() {
		return r.Load()
	}
	return r.SmoothedLoad()
}

// engine reports whether the service runs a model.
func (t *task) engine() bool {
	s, ok := t.doc.Services[t.serviceName]
	return ok && s.RunsModel
}

// choosePrompt picks a replica by the shared parts of the prompt and records the choice in
// the directory. A replica that lacks the longest part is given one to fetch from.
func (t *task) choosePrompt(ctx context.Context, healthy []*replicas.Replica, candidates []placing.Candidate) (placing.Choice, bool) {
	shared := t.sharedParts()
	longest := shared[len(shared)-1].ID
	t.findHolders(ctx, longest)
	for _, h := range t.cacheHolders {
		placing.AddRecent(candidates, h)
	}
	prompt := placing.Prompt{Key: longest, MaxLoadFactor: t.front.Multiple, Holders: t.holders}
	for _, r := range t.withheld() {
		prompt.Withheld++
		prompt.WithheldLoad += r.Load()
	}
	choice, ok := prompt.Choose(candidates)
	if !ok {
		return choice, false
	}
	chosen := healthy[choice.Index]
	t.source = ""
	if choice.Reason != placing.ReasonHolder {
		t.source = t.sourceOf(shared, chosen)
	}
	t.publishPlacement(shared, choice, chosen)
	return choice, true
}

// withheld returns the replicas that this router sends nothing for now though they are
// ready: those in evacuated zones, and cold ones of which it has no share.
func (t *task) withheld() []*replicas.Replica {
	table, now := t.front.Table, t.front.Clock.Now()
	out := slices.Clone(table.Withheld(t.serviceName))
	ready := table.Ready(t.serviceName)
	if !t.anyCold(now, ready) {
		return out
	}
	for _, r := range ready {
		if !t.isSendable(now, r) {
			out = append(out, r)
		}
	}
	return out
}

// findHolders finds the replicas that are taken to hold the prompt's longest shared
// part, from the own directory and from another router, which is asked once.
func (t *task) findHolders(ctx context.Context, longest uint64) {
	if !t.queriedHolders {
		t.queriedHolders = true
		t.cacheHolders = t.front.CacheHolders(ctx, longest)
	}
	t.holders = t.front.Directory.Holders(longest)
	for _, h := range t.cacheHolders {
		if !slices.Contains(t.holders, h.Replica) {
			t.holders = append(t.holders, h.Replica)
		}
	}
}

// publishPlacement records in the directory and at other routers where the prompt goes.
func (t *task) publishPlacement(shared []Part, choice placing.Choice, chosen *replicas.Replica) {
	for _, p := range shared {
		t.front.Directory.Place(placing.Placement{Key: p.ID, Replica: chosen.Hash()})
	}
	use := placing.SentToNewHolder
	if choice.Reason == placing.ReasonHolder {
		use = placing.SentToHolder
	}
	longest := shared[len(shared)-1].ID
	t.front.PublishPlacements(use, placing.Placement{Key: longest, Replica: chosen.Hash()})
}

// sourceOf returns the address of a replica that holds the longest shared part
// that any other replica than the chosen one holds; "" if none does.
func (t *task) sourceOf(shared []Part, chosen *replicas.Replica) string {
	holders := t.holders
	for i := len(shared) - 1; i >= 0; i-- {
		if i < len(shared)-1 {
			holders = t.front.Directory.Holders(shared[i].ID)
		}
		var best *replicas.Replica
		for _, hash := range holders {
			if hash == chosen.Hash() && i < len(shared)-1 {
				return "" // it holds as much as any other
			}
			r, ok := t.front.Table.Source(hash)
			if ok && r != chosen && t.maySend(r) && (best == nil || nearer(r, best, chosen.Zone())) {
				best = r
			}
		}
		if best != nil {
			return best.Address()
		}
	}
	return ""
}

// maySend reports whether a replica can be expected to hand parts on, and is in a region
// from which the request may get them. One that is unreachable or has answered nobody lately
// would only delay the request.
func (t *task) maySend(r *replicas.Replica) bool {
	now := t.front.Clock.Now()
	return r.Service() == t.serviceName && t.inRegion(r) && !r.Unreachable() && !r.Ejected(now) && r.Alive(now)
}

// nearer orders sources by zone, then by load.
func nearer(a, b *replicas.Replica, zone string) bool {
	if near := a.Zone() == zone; near != (b.Zone() == zone) {
		return near
	}
	return a.Load() < b.Load()
}

// sharedParts returns the parts of the prompt that other requests share: all but
// the last one, which is the request's own.
func (t *task) sharedParts() []Part {
	parts := t.call.Prompt
	if len(parts) >= 2 {
		return parts[:len(parts)-1]
	}
	return parts
}

// unsharedTokens estimates the prompt tokens that the replica has to read: at a
// holder of the shared parts only the last part, elsewhere all.
func (t *task) unsharedTokens(choice placing.Choice) int {
	parts := t.call.Prompt
	if len(parts) == 0 {
		return 0
	}
	if choice.Reason == placing.ReasonHolder {
		return parts[len(parts)-1].Tokens
	}
	return promptTokens(parts)
}

func promptTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// spread returns the value by which the request draws among replicas that are nearly
// equal.
func (t *task) spread() uint64 { return xxhash.Sum64String(t.call.ID) }
