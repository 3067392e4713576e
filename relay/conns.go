package relay

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httpserve"
)

const (
	// limitMargin is added to the limits, so that clients that just observe them are not
	// disconnected.
	limitMargin = time.Second
	// limitCheckInterval is the interval of checks for connections beyond a limit.
	limitCheckInterval = time.Second
)

// limitedConns closes client connections that exceed the time limits. The limits may change while
// connections are open.
type limitedConns struct {
	httpserve.Conns
	// lastCheck is when closeExpired ran last.
	lastCheck time.Time
}

func newLimitedConns(clock peridotusher.Clock) *limitedConns {
	return &limitedConns{Conns: httpserve.Conns{Clock: clock}}
}

// run closes connections beyond the limits until ctx ends.
func (t *limitedConns) run(ctx context.Context, limits func() httpserve.Limits) {
	tick := time.NewTicker(limitCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.closeExpired(limits())
		}
	}
}

// closeExpired closes the connections that are beyond the limits. If the process was suspended,
// requests may have arrived that are not read yet; then all limits start anew.
func (t *limitedConns) closeExpired(limits httpserve.Limits) {
	now := t.Clock.Now()
	suspended := !t.lastCheck.IsZero() && now.Sub(t.lastCheck) > 2*limitCheckInterval
	t.lastCheck = now
	if suspended {
		t.ResetTimes()
		return
	}
	t.CloseUnused(withMargin(limits))
}

// withMargin returns the limits after which connections are closed.
func withMargin(limits httpserve.Limits) httpserve.Limits {
	if limits.Head > 0 {
		limits.Head += limitMargin
	}
	if limits.Idle > 0 {
		limits.Idle += limitMargin
	}
	return limits
}
