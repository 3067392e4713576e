package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httpserve"
)

// trackedConn is a connection that records whether it was closed.
type trackedConn struct {
	net.Conn
	receiving bool // whether a part of a request was received
	closed    bool
}

func (c *trackedConn) Close() error {
	c.closed = true
	return nil
}

func (c *trackedConn) CloseIfIdle()            { c.closed = c.closed || !c.receiving }
func (c *trackedConn) BeginRequest(int64) bool { return true }
func (c *trackedConn) MarkIdle()               {}
func (c *trackedConn) IsReceiving() bool       { return c.receiving }
func (c *trackedConn) IsClosed() bool          { return c.closed }

// TestConnectionLimits has connections without a request, idle ones, of which one has received a part of
// a request, and one with a running request, under changing limits and with a suspension of the process.
func TestConnectionLimits(t *testing.T) {
	limits := httpserve.Limits{Head: 3 * time.Second, Idle: 15 * time.Second}
	type closed struct{ unused, idle, part, busy bool }
	tests := []struct {
		name      string
		limits    httpserve.Limits
		after     time.Duration
		suspended time.Duration // at the end of after, the process is suspended for so long
		want      closed
	}{
		{"in time", limits, 3 * time.Second, 0, closed{}},
		{"no request in time", limits, 5 * time.Second, 0, closed{unused: true, part: true}},
		{"beyond both limits", limits, 17 * time.Second, 0, closed{unused: true, idle: true, part: true}},
		{"a longer limit", httpserve.Limits{Head: 20 * time.Second, Idle: 15 * time.Second}, 17 * time.Second, 0, closed{idle: true}},
		{"no limit of heads", httpserve.Limits{Idle: 15 * time.Second}, 17 * time.Second, 0, closed{idle: true}},
		{"no limits", httpserve.Limits{}, time.Hour, 0, closed{}},
		{"suspended", limits, time.Minute, time.Minute, closed{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			table := newLimitedConns(peridotusher.ClockFunc(func() time.Time { return now }))
			var unused, idle, part, busy trackedConn
			for _, c := range []*trackedConn{&unused, &idle, &part, &busy} {
				table.Track(c, http.StateNew)
			}
			for _, c := range []*trackedConn{&idle, &part} {
				table.Track(c, http.StateActive)
				table.Track(c, http.StateIdle)
			}
			part.receiving = true
			table.Track(&busy, http.StateActive)
			table.closeExpired(tt.limits)
			for range (tt.after - tt.suspended) / limitCheckInterval {
				now = now.Add(limitCheckInterval)
				table.closeExpired(tt.limits)
			}
			now = now.Add(tt.suspended)
			table.closeExpired(tt.limits)
			if tt.suspended > 0 {
				now = now.Add(limitCheckInterval)
				table.closeExpired(tt.limits)
			}
			if diff := cmp.Diff(tt.want, closed{unused.closed, idle.closed, part.closed, busy.closed}, cmp.AllowUnexported(closed{})); diff != "" {
				t.Errorf("closed (-want +got):\n%s", diff)
			}
		})
	}
}
