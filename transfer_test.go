package peridotusher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestCopyOrder(t *testing.T) {
	// A prefill takes 20 µs for each token and a copy 5 µs, so a copy with its
	// overhead of 5 ms is faster from 334 tokens on.
	policy := planDocument(t, "", "").Policy().Rollout()
	now := planStart
	chats := []CachedChat{
		{Chat: "old", Tokens: 1000, Turns: 2, Stored: now.Add(-10 * time.Minute)},
		{Chat: "short", Tokens: 333, Turns: 9, Stored: now},
		{Chat: "just long enough", Tokens: 334, Turns: 1, Stored: now.Add(-10 * time.Minute)},
		{Chat: "new", Tokens: 1000, Turns: 1, Stored: now},
		{Chat: "frequent", Tokens: 1000, Turns: 8, Stored: now.Add(-time.Minute)},
	}
	var got []ChatKey
	for _, c := range CopyOrder(now, policy, chats) {
		got = append(got, c.Chat)
	}
	want := []ChatKey{"frequent", "new", "old", "just long enough"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestWarmupWeight(t *testing.T) {
	var got []float64
	for _, age := range []time.Duration{-time.Second, 0, 9, 10, 19, 20, 29, 30, 100} {
		got = append(got, WarmupWeight(age, 30))
	}
	if diff := cmp.Diff([]float64{0.25, 0.25, 0.25, 0.5, 0.5, 0.75, 0.75, 1, 1}, got); diff != "" {
		t.Errorf("weights (-want +got):\n%s", diff)
	}
	if got := WarmupWeight(0, 0); got != 1 {
		t.Errorf("weight without a warm-up: %v", got)
	}
}
