package ratelimit

import (
	"testing"
	"time"
)

// TestEndedLimitStaysEnded guards against an ended limit that a router which missed its end sets again.
func TestEndedLimitStaysEnded(t *testing.T) {
	f := newFleet(2)
	f.state(2)
	l, missed := f.routers[0], f.routers[1]
	f.now = f.now.Add(time.Second)
	l.Table.Record(Answer{Replica: replica, SentAt: f.now})
	for end := f.now.Add(2 * limitTTL); f.now.Before(end); f.now = f.now.Add(time.Second) {
		l.Table.Expire()
		missed.Table.Expire()
		l.Table.Merge(missed.Table.All())
		if l.Limited(replica) {
			t.Fatalf("limited again %v after the end of the limit", f.now.Sub(end)+2*limitTTL)
		}
	}
}
