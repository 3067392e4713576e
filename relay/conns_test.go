package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// openConn is a connection that tells whether it was closed.
type openConn struct {
	net.Conn
	closed bool
}

func (c *openConn) Close() error {
	c.closed = true
	return nil
}

// TestConnectionLimits has clients that connect and send nothing, that are idle after
// an answer and that are being answered, under changing limits and a standstill.
func TestConnectionLimits(t *testing.T) {
	limits := connLimits{head: 3 * time.Second, idle: 15 * time.Second}
	type closed struct{ fresh, idle, busy bool }
	tests := []struct {
		name   string
		limits connLimits
		after  time.Duration
		still  time.Duration // of it the process stands still at the end
		want   closed
	}{
		{"in time", limits, 3 * time.Second, 0, closed{}},
		{"the head is late", limits, 5 * time.Second, 0, closed{fresh: true}},
		{"all is late", limits, 17 * time.Second, 0, closed{fresh: true, idle: true}},
		{"a longer limit", connLimits{head: 20 * time.Second, idle: 15 * time.Second}, 17 * time.Second, 0, closed{idle: true}},
		{"no limits", connLimits{}, time.Hour, 0, closed{}},
		{"a standstill", limits, time.Minute, time.Minute, closed{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			table := newConnTable(peridotusher.ClockFunc(func() time.Time { return now }), func() bool { return false })
			var fresh, idle, busy openConn
			for _, c := range []*openConn{&fresh, &idle, &busy} {
				table.state(c, http.StateNew)
			}
			table.state(&idle, http.StateActive)
			table.state(&idle, http.StateIdle)
			table.state(&busy, http.StateActive)
			table.look(tt.limits)
			for range (tt.after - tt.still) / limitEvery {
				now = now.Add(limitEvery)
				table.look(tt.limits)
			}
			now = now.Add(tt.still)
			table.look(tt.limits)
			if diff := cmp.Diff(tt.want, closed{fresh.closed, idle.closed, busy.closed}, cmp.AllowUnexported(closed{})); diff != "" {
				t.Errorf("closed (-want +got):\n%s", diff)
			}
		})
	}
}
