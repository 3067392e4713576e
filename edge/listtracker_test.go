package edge

import (
	"testing"
	"time"
)

// TestOutageDetection checks when the last outage ended for routers that read lists, receive the
// reads of others or cannot reach the store.
func TestOutageDetection(t *testing.T) {
	const gap = 2 * time.Second
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name  string
		setup func(l *listTracker)
		want  float64 // second at which the last outage ended
	}{
		{"regular reads", func(l *listTracker) {
			for s := 0.5; s < 20; s += 0.7 {
				l.recordRead(at(s), at(s), gap, false)
			}
		}, 0.5},
		{"store unavailable", func(l *listTracker) {
			l.recordRead(at(1), at(1), gap, false)
			l.recordRead(at(9), at(9), gap, false)
		}, 9},
		{"unreachable only for this router", func(l *listTracker) {
			l.recordRead(at(1), at(1), gap, false)
			l.merge(at(9), peerList{readAt: at(8.8), outageEnd: at(1), readerScore: 1}, gap)
			l.recordRead(at(9.5), at(9.5), gap, false)
		}, 1},
		{"unreachable for all routers", func(l *listTracker) {
			l.recordRead(at(1), at(1), gap, false)
			l.merge(at(9), peerList{readAt: at(8.8), outageEnd: at(8.8), readerScore: 1}, gap)
			l.recordRead(at(9.5), at(9.5), gap, false)
		}, 8.8},
		{"reported by a router with an old list", func(l *listTracker) {
			l.recordRead(at(1), at(1), gap, false)
			l.recordRead(at(9), at(9), gap, false)
			l.merge(at(9.1), peerList{readAt: at(2), outageEnd: at(0.2), readerScore: 1}, gap)
		}, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l listTracker
			l.start(start, 5)
			tt.setup(&l)
			if _, outage := l.latest(); !outage.Equal(at(tt.want)) {
				t.Errorf("outage ended at %v, want %v s", outage.Sub(start), tt.want)
			}
		})
	}
}

// TestListAgeIsNotReset guards against a list that seems newer to its reader each time that another
// router reports it back.
func TestListAgeIsNotReset(t *testing.T) {
	const gap = 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		setup func(l *listTracker)
		want  int // when the newest list was read, in ms
	}{
		{"next list", func(l *listTracker) {
			l.merge(at(40), peerList{readAt: at(10), readerScore: 1}, gap)
			l.merge(at(800), peerList{readAt: at(760), readerScore: 1}, gap)
		}, 760},
		{"list of another router", func(l *listTracker) {
			l.merge(at(40), peerList{readAt: at(10), readerScore: 1}, gap)
			l.merge(at(90), peerList{readAt: at(50), readerScore: 2}, gap)
		}, 50},
		{"own list reported back", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, false)
			l.merge(at(400), peerList{readAt: at(300), readerScore: 5}, gap)
		}, 0},
		{"own list reported back to the first reader", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, true)
			l.merge(at(400), peerList{readAt: at(300), readerScore: 0}, gap)
		}, 0},
		{"list of another first reader", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, true)
			l.merge(at(800), peerList{readAt: at(700), readerScore: 0}, gap)
		}, 700},
		{"read twice in a row", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, false)
			l.recordRead(at(100), at(100), gap, false)
		}, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l listTracker
			l.start(start.Add(-time.Minute), 5)
			tt.setup(&l)
			if read, _ := l.latest(); !read.Equal(at(tt.want)) {
				t.Errorf("the list was read at %v, want %v", read.Sub(start), time.Duration(tt.want)*time.Millisecond)
			}
		})
	}
}
