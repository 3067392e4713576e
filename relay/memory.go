package relay

import (
	"slices"

	"peridotusher.example/peridotusher/replicas"
)

// memory returns the tokens that requests and parts share at a replica of the service; 0 if
// that is not known or the request does not say how many it needs.
func (t *task) memory() int {
	s, ok := t.doc.Services[t.serviceName]
	if !ok || t.call.Tokens <= 0 {
		return 0
	}
	return s.MemoryTokens
}

// withMemory leaves out replicas in whose memory the request does not fit beside those of
// this router, as long as it fits at another one.
func (t *task) withMemory(all []*replicas.Replica) []*replicas.Replica {
	memory := t.memory()
	if memory <= 0 {
		return all
	}
	holders := t.knownHolders()
	fit := make([]*replicas.Replica, 0, len(all))
	for _, r := range all {
		if r.Occupied()+t.tokensAt(slices.Contains(holders, r.Hash())) <= memory {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 || len(fit) == len(all) {
		return all
	}
	t.front.Metrics.withoutMemory(t.serviceName, len(all)-len(fit))
	return fit
}

// knownHolders returns the replicas that hold the prompt's longest shared part as far as
// this router knows without asking.
func (t *task) knownHolders() []uint32 {
	if !t.route.Cached || len(t.call.Prompt) == 0 {
		return nil
	}
	shared := t.sharedParts()
	return t.front.Directory.Holders(shared[len(shared)-1].ID)
}

// tokensAt returns the tokens that the request occupies at a replica. One that holds the
// shared parts of the prompt has them in its memory already.
func (t *task) tokensAt(holds bool) int {
	if !holds {
		return t.call.Tokens
	}
	parts := t.call.Prompt
	return max(t.call.Tokens-promptTokens(parts[:max(len(parts)-1, 0)]), 0)
}

// occupy counts the request's tokens in at the chosen replica; the function that it returns
// counts them out.
func (t *task) occupy(r *replicas.Replica, holds bool) (release func()) {
	if t.memory() <= 0 {
		return func() {}
	}
	return r.Occupy(t.tokensAt(holds))
}
