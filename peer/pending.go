package peer

import (
	"container/list"
	"net"
	"sync"
)

// maxPendingConns is the largest number of accepted connections whose handshake has not ended. A fleet that starts
// at once has fewer per router within the handshake's timeout, and a router that is disconnected dials again.
const maxPendingConns = 1024

// pendingConns limits the accepted connections whose handshake has not ended. The zero value is empty. It is safe
// for concurrent use.
type pendingConns struct {
	mu    sync.Mutex
	conns list.List // of net.Conn, the oldest first
}

// add adds a connection, for which it closes the oldest one if there are too many. done removes it, and may be called
// more than once.
func (p *pendingConns) add(c net.Conn) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns.Len() >= maxPendingConns {
		oldest := p.conns.Remove(p.conns.Front()).(net.Conn)
		_ = oldest.Close() // its handshake fails
	}
	e := p.conns.PushBack(c)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns.Remove(e) // no effect on a list that it is not in
	}
}
