package relay

import (
	"slices"

	"peridotusher.example/peridotusher/replicas"
)

// tokenCapacity returns the memory in tokens that requests and cached parts share at a replica of
// the service; 0 if it is unknown or the request does not state its own tokens.
func (t *task) tokenCapacity() int {
	s, ok := t.doc.Services[t.serviceName]
	if !ok || t.call.Tokens <= 0 {
		return 0
	}
	return s.MemoryTokens
}

// withMemory excludes replicas in whose memory the request does not fit beside the other requests
// of this router, as long as it fits at another replica.
func (t *task) withMemory(all []*replicas.Replica) []*replicas.Replica {
	memory := t.tokenCapacity()
	if memory <= 0 {
		return all
	}
	holders := t.knownHolders()
	fit := make([]*replicas.Replica, 0, len(all))
	for _, r := range all {
		if r.ReservedTokens()+t.tokensNeeded(slices.Contains(holders, r.Hash())) <= memory {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 || len(fit) == len(all) {
		return all
	}
	t.proxy.Metrics.countWithoutMemory(t.serviceName, len(all)-len(fit))
	return fit
}

// knownHolders returns the holders of the prompt's longest shared part that the own directory
// knows.
func (t *task) knownHolders() []uint32 {
	if !t.route.Cached || len(t.call.Prompt) == 0 {
		return nil
	}
	shared := t.sharedParts()
	return t.proxy.Directory.Holders(shared[len(shared)-1].ID)
}

// tokensNeeded returns the tokens that the request occupies at a replica. A holder of the shared
// parts has those in its memory already.
func (t *task) tokensNeeded(holds bool) int {
	if !holds {
		return t.call.Tokens
	}
	parts := t.call.Prompt
	return max(t.call.Tokens-promptTokens(parts[:max(len(parts)-1, 0)]), 0)
}

// occupyTokens counts the request's tokens as occupied at the chosen replica until release is
// called.
func (t *task) occupyTokens(r *replicas.Replica, holds bool) (release func()) {
	if t.tokenCapacity() <= 0 {
		return func() {}
	}
	return r.ReserveTokens(t.tokensNeeded(holds))
}
