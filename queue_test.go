package peridotusher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// queuedRequest describes one ask of a queue test.
type queuedRequest struct {
	id       RequestID
	org      string
	priority int
	weight   float64
	at       time.Duration // when it is queued
}

func drain(q *Queue, now time.Time) []RequestID {
	var order []RequestID
	for {
		w, ok := q.First(now, "e")
		if !ok {
			return order
		}
		q.Remove(w)
		order = append(order, w.Ask.Request.ID)
	}
}

func push(q *Queue, start time.Time, w queuedRequest, limit int) *QueuedAsk {
	at := start.Add(w.at)
	return q.Push(&QueuedAsk{
		Ask:      Ask{Engine: "e", Request: Request{ID: w.id, Organisation: w.org, Work: 1, Deadline: at.Add(time.Minute)}},
		Priority: w.priority, Weight: w.weight, QueuedAt: at, WaitUntil: at.Add(time.Minute),
	}, limit)
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		waits []queuedRequest
		after time.Duration
		want  []RequestID
	}{
		{"by class priority", []queuedRequest{{"report", "x", 2, 1, 0}, {"label", "y", 1, 1, 0}, {"chat", "z", 0, 1, 0}}, 0, []RequestID{"chat", "label", "report"}},
		{"aging raises a report", []queuedRequest{{"report", "x", 2, 1, 0}, {"chat", "z", 0, 1, 6 * time.Second}}, 6 * time.Second, []RequestID{"report", "chat"}},
		{"a burst delays only its own organisation", []queuedRequest{{"s1", "s", 0, 1, 0}, {"s2", "s", 0, 1, 0}, {"s3", "s", 0, 1, 0}, {"o1", "o", 0, 1, 0}}, 0, []RequestID{"s1", "o1", "s2", "s3"}},
		{"shares by weight", []queuedRequest{{"s1", "s", 0, 1, 0}, {"s2", "s", 0, 1, 0}, {"o1", "o", 0, 2, 0}, {"o2", "o", 0, 2, 0}, {"o3", "o", 0, 2, 0}}, 0, []RequestID{"o1", "s1", "o2", "o3", "s2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			q := NewQueue()
			for _, w := range tt.waits {
				push(q, start, w, len(tt.waits))
			}
			if diff := cmp.Diff(tt.want, drain(q, start.Add(tt.after))); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFullQueueDropsTheLast(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	q := NewQueue()
	push(q, start, queuedRequest{"report", "x", 2, 1, 0}, 2)
	push(q, start, queuedRequest{"chat", "x", 0, 1, 0}, 2)
	dropped := push(q, start, queuedRequest{"label", "x", 1, 1, 0}, 2)
	if dropped == nil || dropped.Ask.Request.ID != "report" {
		t.Errorf("dropped %+v, want the report", dropped)
	}
	if ended := q.TakeExpired(start.Add(2 * time.Minute)); len(ended) != 2 {
		t.Errorf("%d waits ended, want 2", len(ended))
	}
	if diff := cmp.Diff(0, q.Len("e")); diff != "" {
		t.Errorf("length (-want +got):\n%s", diff)
	}
}

func TestPlacementsEvictLeastRecentlyUsed(t *testing.T) {
	p := NewPlacements()
	p.Set("one", "x", 2)
	p.Set("two", "y", 2)
	p.Get("one")
	p.Set("three", "z", 2)
	got := map[ChatKey]EngineID{}
	for _, chat := range []ChatKey{"one", "two", "three"} {
		if e, ok := p.Get(chat); ok {
			got[chat] = e
		}
	}
	if diff := cmp.Diff(map[ChatKey]EngineID{"one": "x", "three": "z"}, got); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	p.Forget("one", "z")
	if e, _ := p.Get("one"); e != "x" {
		t.Errorf("forgetting another engine changed the record to %q", e)
	}
}
