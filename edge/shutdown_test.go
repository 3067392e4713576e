package edge

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/mesh"
)

// balancer simulates the platform's load balancer as far as it concerns a stop. It checks the
// zone's routers once a second, takes a router out of the rotation after two misses and back in
// after one success, and uses all routers while some but fewer than half are in the rotation.
type balancer struct {
	misses []int
}

func (b *balancer) poll(ready []bool) {
	for i, ok := range ready {
		if ok {
			b.misses[i] = 0
		} else {
			b.misses[i]++
		}
	}
}

// uses reports whether new connections are sent to the router.
func (b *balancer) uses(router int) bool {
	in := 0
	for _, n := range b.misses {
		if n < 2 {
			in++
		}
	}
	return b.misses[router] < 2 || in > 0 && 2*in < len(b.misses)
}

// restart is the time in which a router is not ready.
type restart struct{ notReadyAt, readyAt time.Duration }

// stopResult is the outcome of a simulated stop. Times count from its start.
type stopResult struct {
	closedAt       time.Duration // when the router closed
	lastConnection time.Duration // when the balancer last used it before that
	remaining      time.Duration // time left for requests in flight when it closed
}

// simulateStop stops a router at time 0 while the others of its zone restart. phase is the offset
// of the balancer's checks within a second.
func simulateStop(others []restart, grace, phase, step time.Duration) stopResult {
	const leadTime = 5 * time.Second // from the start of the simulation to the stop
	start := time.Unix(0, 0)
	var l *shutdown
	b := &balancer{misses: make([]int, len(others)+1)}
	result := stopResult{closedAt: -1}
	for at := -leadTime; at < 2*grace; at += step {
		ready := []bool{l == nil || l.inRotation(start.Add(at))}
		zone := mesh.ZoneCount{All: len(others) + 1}
		for _, o := range others {
			ready = append(ready, at < o.notReadyAt || at >= o.readyAt)
			if ready[len(ready)-1] {
				zone.Ready++
			}
		}
		if (at-phase+leadTime)%time.Second == 0 {
			b.poll(ready)
		}
		if b.uses(0) && result.closedAt < 0 {
			result.lastConnection = at
		}
		if at < 0 || result.closedAt >= 0 {
			continue
		}
		if l == nil {
			l = newShutdown(start, grace, zone)
		}
		l.update(start.Add(at), zone)
		if l.done(start.Add(at)) {
			result.closedAt, result.remaining = at, l.remaining(start.Add(at))
		}
	}
	return result
}

// TestStopWaitsForBalancer simulates overlapping restarts in a zone, with the balancer's checks at
// any offset within a second and some packets lost. No connection may arrive so shortly before a
// stopping router closes that a packet sent again arrives after the close, unless the kill is
// near or the zone suddenly needs the router.
func TestStopWaitsForBalancer(t *testing.T) {
	const (
		step   = 50 * time.Millisecond
		resend = 600 * time.Millisecond // two packets in a row are lost
		grace  = 8 * time.Second
	)
	tests := []struct {
		name             string
		others           []restart // relative to the start of the stop
		earliest, latest time.Duration
		mayOverlap       bool // whether a packet may be sent again after the close
	}{
		{"only router of the zone", nil, rotationExitDelay, rotationExitDelay + step, false},
		{"others are ready", []restart{{}, {}}, rotationExitDelay, rotationExitDelay + step, false},
		{"both others become ready", []restart{{-4 * time.Second, 500 * time.Millisecond}, {-4 * time.Second, 2500 * time.Millisecond}}, rotationExitPostponement + rotationExitDelay, 5200 * time.Millisecond, false},
		{"one other stopped before and becomes ready", []restart{{}, {-time.Second, 4 * time.Second}}, 5500 * time.Millisecond, 6 * time.Second, false},
		{"one of two others becomes ready", []restart{{-4 * time.Second, 10 * time.Second}, {-4 * time.Second, 500 * time.Millisecond}}, 7 * time.Second, grace, true},
		{"one other stops a second later", []restart{{}, {time.Second + rotationExitPostponement, 10 * time.Second}}, rotationExitDelay, rotationExitDelay + step, false},
		{"one other stops soon after", []restart{{}, {900*time.Millisecond + rotationExitPostponement, 10 * time.Second}}, rotationExitDelay, rotationExitDelay + step, false},
		{"one other becomes ready soon, one stops later", []restart{{-4 * time.Second, 700 * time.Millisecond}, {2*time.Second + rotationExitPostponement, 10 * time.Second}}, 4 * time.Second, 4200 * time.Millisecond, false},
		{"no router of the zone would be in rotation", []restart{{-4 * time.Second, 500 * time.Millisecond}}, rotationExitDelay + 500*time.Millisecond, rotationExitDelay + 600*time.Millisecond, false},
		{"one other crashes", []restart{{}, {time.Second, 10 * time.Second}}, rotationExitDelay, rotationExitDelay + step, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				p := simulateStop(tt.others, grace, phase, step)
				if p.closedAt < tt.earliest || p.closedAt > tt.latest {
					t.Errorf("phase %v: closed after %v, want %v to %v", phase, p.closedAt, tt.earliest, tt.latest)
				}
				if p.closedAt+p.remaining >= grace {
					t.Errorf("phase %v: closed after %v, %v remaining of %v until the kill", phase, p.closedAt, p.remaining, grace)
				}
				if !tt.mayOverlap && p.lastConnection+resend > p.closedAt {
					t.Errorf("phase %v: closed after %v, the balancer sent connections until %v", phase, p.closedAt, p.lastConnection)
				}
			}
		})
	}
}
