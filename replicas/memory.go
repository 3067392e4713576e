package replicas

import "sync"

// ReserveTokens reserves the tokens that a request may occupy in the replica's memory; the
// returned function releases them.
func (r *Replica) ReserveTokens(tokens int) (release func()) {
	r.reservedTokens.Add(int64(tokens))
	return sync.OnceFunc(func() { r.reservedTokens.Add(-int64(tokens)) })
}

// ReservedTokens returns the number of tokens that this router's own requests reserve in the
// replica's memory. Reservations are not published to other routers, since heartbeats have
// no capacity for them.
func (r *Replica) ReservedTokens() int { return int(r.reservedTokens.Load()) }
