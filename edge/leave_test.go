package edge

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/mesh"
)

// balancer is the part of the platform's balancer that a stop meets: it asks the
// zone's routers each second, takes one out after two misses, back in after one
// answer, and uses all of them while fewer than half but some are in rotation.
type balancer struct {
	misses []int
}

func (b *balancer) ask(ready []bool) {
	for i, ok := range ready {
		if ok {
			b.misses[i] = 0
		} else {
			b.misses[i]++
		}
	}
}

// uses reports whether new connections go to the router.
func (b *balancer) uses(router int) bool {
	in := 0
	for _, n := range b.misses {
		if n < 2 {
			in++
		}
	}
	return b.misses[router] < 2 || in > 0 && 2*in < len(b.misses)
}

// restart is when a router stops to be ready and when it is ready again.
type restart struct{ from, until time.Duration }

// playedStop is a stop before the balancer.
type playedStop struct {
	closed time.Duration // when the router closed
	came   time.Duration // when the balancer last sent it connections until then
	left   time.Duration // for requests in flight once it was closed
}

// playStop has a router stop at 0 while the others of its zone restart. The balancer's
// questions fall on phase.
func playStop(others []restart, grace, phase, step time.Duration) playedStop {
	const lead = 5 * time.Second // from the start of the play to the stop
	start := time.Unix(0, 0)
	var l *leave
	b := &balancer{misses: make([]int, len(others)+1)}
	p := playedStop{closed: -1}
	for at := -lead; at < 2*grace; at += step {
		ready := []bool{l == nil || l.ready(start.Add(at))}
		zone := mesh.ZoneCount{All: len(others) + 1}
		for _, o := range others {
			ready = append(ready, at < o.from || at >= o.until)
			if ready[len(ready)-1] {
				zone.Ready++
			}
		}
		if (at-phase+lead)%time.Second == 0 {
			b.ask(ready)
		}
		if b.uses(0) && p.closed < 0 {
			p.came = at
		}
		if at < 0 || p.closed >= 0 {
			continue
		}
		if l == nil {
			l = newLeave(start, grace, zone)
		}
		l.look(start.Add(at), zone)
		if l.over(start.Add(at)) {
			p.closed, p.left = at, l.left(start.Add(at))
		}
	}
	return p
}

// TestStopOutlastsTheBalancer plays overlapping restarts of a zone before the
// balancer, whose questions fall on any part of a second, while some packets are lost:
// no connection may come to a stopping router so shortly before it closes that a lost
// packet of it meets the close, unless the kill is near or the zone suddenly needs it.
func TestStopOutlastsTheBalancer(t *testing.T) {
	const (
		step   = 50 * time.Millisecond
		resend = 600 * time.Millisecond // two packets in a row are lost
		grace  = 8 * time.Second
	)
	tests := []struct {
		name        string
		others      []restart // from the stop's beginning on
		least, most time.Duration
		meets       bool // whether a packet sent again may meet the close
	}{
		{"alone in the zone", nil, outOfRotation, outOfRotation + step, false},
		{"others are ready", []restart{{}, {}}, outOfRotation, outOfRotation + step, false},
		{"both others come back", []restart{{-4 * time.Second, 500 * time.Millisecond}, {-4 * time.Second, 2500 * time.Millisecond}}, leaveLater + outOfRotation, 5200 * time.Millisecond, false},
		{"the other stopped before and comes back", []restart{{}, {-time.Second, 4 * time.Second}}, 5500 * time.Millisecond, 6 * time.Second, false},
		{"one of three comes back", []restart{{-4 * time.Second, 10 * time.Second}, {-4 * time.Second, 500 * time.Millisecond}}, 7 * time.Second, grace, true},
		{"the other stops a second later", []restart{{}, {time.Second + leaveLater, 10 * time.Second}}, outOfRotation, outOfRotation + step, false},
		{"the other stops soon after", []restart{{}, {900*time.Millisecond + leaveLater, 10 * time.Second}}, outOfRotation, outOfRotation + step, false},
		{"the first one is back soon, the third stops later", []restart{{-4 * time.Second, 700 * time.Millisecond}, {2*time.Second + leaveLater, 10 * time.Second}}, 4 * time.Second, 4200 * time.Millisecond, false},
		{"the zone would be empty", []restart{{-4 * time.Second, 500 * time.Millisecond}}, outOfRotation + 500*time.Millisecond, outOfRotation + 600*time.Millisecond, false},
		{"the other crashes", []restart{{}, {time.Second, 10 * time.Second}}, outOfRotation, outOfRotation + step, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				p := playStop(tt.others, grace, phase, step)
				if p.closed < tt.least || p.closed > tt.most {
					t.Errorf("phase %v: closed after %v, want %v to %v", phase, p.closed, tt.least, tt.most)
				}
				if p.closed+p.left >= grace {
					t.Errorf("phase %v: closed after %v, %v left of %v to the kill", phase, p.closed, p.left, grace)
				}
				if !tt.meets && p.came+resend > p.closed {
					t.Errorf("phase %v: closed after %v, the balancer sent connections until %v", phase, p.closed, p.came)
				}
			}
		})
	}
}
