package peer

import (
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// closeRecorder is a connection that records whether it was closed.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// TestPendingConnsAreEvicted guards against connections without a handshake that use up the descriptors of a router: the oldest one
// is closed for a new one, unless its handshake has ended.
func TestPendingConnsAreEvicted(t *testing.T) {
	var p pendingConns
	conns := make([]*closeRecorder, maxPendingConns+2)
	var done []func()
	for i := range conns {
		conns[i] = &closeRecorder{}
		done = append(done, p.add(conns[i]))
		if i == 0 {
			done[0]()
			done[0]()
		}
	}
	var closed []int
	for i, c := range conns {
		if c.closed {
			closed = append(closed, i)
		}
	}
	if diff := cmp.Diff([]int{1}, closed); diff != "" || p.conns.Len() != maxPendingConns {
		t.Errorf("%d are pending, closed (-want +got):\n%s", p.conns.Len(), diff)
	}
}
