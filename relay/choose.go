package relay

import (
	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

// choose picks the next replica for the request.
func (t *task) choose() (*replicas.Replica, bool) {
	f := t.front
	now := f.Clock.Now()
	sound := replicas.Sound(now, t.others())
	candidates := make([]placing.Candidate, len(sound))
	for i, r := range sound {
		candidates[i] = placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Held: r.Held(), Slots: r.Slots(), Prefill: r.Prefill(now)}
	}
	var choice placing.Choice
	var ok bool
	if t.route.Cached && len(t.call.Prompt) > 0 {
		choice, ok = t.choosePrompt(candidates)
	} else {
		choice, ok = placing.Call{Zone: f.Zone, Spread: xxhash.Sum64String(t.call.ID)}.Choose(candidates)
	}
	if !ok {
		return nil, false
	}
	t.choice = choice
	r := sound[choice.Index]
	t.held = candidates[choice.Index].Held
	if t.route.Cached {
		r.AddPrefill(now, t.unsharedTokens(choice))
	}
	return r, true
}

// choosePrompt picks a replica by the shared part of the prompt and tells the
// directory.
func (t *task) choosePrompt(candidates []placing.Candidate) (placing.Choice, bool) {
	key := t.sharedKey()
	choice, ok := placing.Prompt{Key: key, Holders: t.front.Directory.Holders(key)}.Choose(candidates)
	if ok {
		t.front.Directory.Place(placing.Placement{Key: key, Replica: candidates[choice.Index].Hash})
	}
	return choice, ok
}

// sharedKey identifies the longest part of the prompt that other requests share:
// the last part is the request's own.
func (t *task) sharedKey() uint64 {
	parts := t.call.Prompt
	if len(parts) >= 2 {
		return parts[len(parts)-2].ID
	}
	return parts[0].ID
}

// unsharedTokens estimates the prompt tokens that the replica has to read: at a
// holder of the shared parts only the last part, elsewhere all.
func (t *task) unsharedTokens(choice placing.Choice) int {
	parts := t.call.Prompt
	if len(parts) == 0 {
		return 0
	}
	if choice.Reason == "holder" {
		return parts[len(parts)-1].Tokens
	}
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
