package edge

import (
	"testing"
	"time"
)

// TestReading has routers that read lists, hear of them or are cut off, and
// checks how old they take the last outage for.
func TestReading(t *testing.T) {
	const gap = 2 * time.Second
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name string
		play func(l *reading)
		want float64 // second at which the last outage ended
	}{
		{"steady reads", func(l *reading) {
			for s := 0.5; s < 20; s += 0.7 {
				l.read(at(s), at(s), gap, false)
			}
		}, 0.5},
		{"store away", func(l *reading) {
			l.read(at(1), at(1), gap, false)
			l.read(at(9), at(9), gap, false)
		}, 9},
		{"cut off while others read", func(l *reading) {
			l.read(at(1), at(1), gap, false)
			l.merge(at(9), peerList{at: at(8.8), outage: at(1), by: 1}, gap)
			l.read(at(9.5), at(9.5), gap, false)
		}, 1},
		{"all saw the store away", func(l *reading) {
			l.read(at(1), at(1), gap, false)
			l.merge(at(9), peerList{at: at(8.8), outage: at(8.8), by: 1}, gap)
			l.read(at(9.5), at(9.5), gap, false)
		}, 8.8},
		{"told by a router whose list is old", func(l *reading) {
			l.read(at(1), at(1), gap, false)
			l.read(at(9), at(9), gap, false)
			l.merge(at(9.1), peerList{at: at(2), outage: at(0.2), by: 1}, gap)
		}, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l reading
			l.start(start, 5)
			tt.play(&l)
			if _, outage := l.last(); !outage.Equal(at(tt.want)) {
				t.Errorf("outage ended at %v, want %v s", outage.Sub(start), tt.want)
			}
		})
	}
}

// TestListKeepsItsAge guards against a list that seems newer to its reader each time that
// another router reports it back.
func TestListKeepsItsAge(t *testing.T) {
	const gap = 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		play func(l *reading)
		want int // ms
	}{
		{"the next one", func(l *reading) {
			l.merge(at(40), peerList{at: at(10), by: 1}, gap)
			l.merge(at(800), peerList{at: at(760), by: 1}, gap)
		}, 760},
		{"of another router", func(l *reading) {
			l.merge(at(40), peerList{at: at(10), by: 1}, gap)
			l.merge(at(90), peerList{at: at(50), by: 2}, gap)
		}, 50},
		{"back at its reader", func(l *reading) {
			l.read(at(0), at(0), gap, false)
			l.merge(at(400), peerList{at: at(300), by: 5}, gap)
		}, 0},
		{"back at the first reader", func(l *reading) {
			l.read(at(0), at(0), gap, true)
			l.merge(at(400), peerList{at: at(300), by: 0}, gap)
		}, 0},
		{"of another first reader", func(l *reading) {
			l.read(at(0), at(0), gap, true)
			l.merge(at(800), peerList{at: at(700), by: 0}, gap)
		}, 700},
		{"read again at once", func(l *reading) {
			l.read(at(0), at(0), gap, false)
			l.read(at(100), at(100), gap, false)
		}, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l reading
			l.start(start.Add(-time.Minute), 5)
			tt.play(&l)
			if read, _ := l.last(); !read.Equal(at(tt.want)) {
				t.Errorf("the list was read at %v, want %v", read.Sub(start), time.Duration(tt.want)*time.Millisecond)
			}
		})
	}
}
