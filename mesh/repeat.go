package mesh

import "sync"

// maxPendingRepeats bounds the number of coordinators with a pending repeat.
const maxPendingRepeats = 64

// pendingRepeats holds, by coordinator, the request that ended last. The next datagram to the
// coordinator repeats its end: if the datagram that first reported it was lost, the slot would
// otherwise stay occupied until its lease expires, which takes many times as long as a short
// request.
type pendingRepeats struct {
	mu   sync.Mutex
	last map[string]EndedRequest
}

// swap returns the message that repeats the end of the request that ended last, as a cancellation;
// nil if there is none. It stores ends, if not nil, to be repeated in the next datagram.
func (p *pendingRepeats) swap(router string, ends *EndedRequest) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.last[router]
	delete(p.last, router)
	if ends != nil {
		if p.last == nil || len(p.last) >= maxPendingRepeats {
			p.last = make(map[string]EndedRequest)
		}
		p.last[router] = *ends
	}
	if !ok {
		return nil
	}
	return appendBytes(nil, messageCancel, last.marshal())
}
