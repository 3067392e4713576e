package peridotusher

import (
	"context"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkDecision measures granting and releasing one permit, by the number of
// engines of the model.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{20, 200, 1400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			n := newNetwork(b, engines, "a")
			n.setOwners("a", "")
			o := n.routers["a"].owner
			ctx := context.Background()
			b.ReportAllocs()
			b.ResetTimer()
			for k := range b.N {
				engine := engineName(k % engines)
				answer := o.Ask(ctx, Ask{Request: n.chatRequest(k), Engine: engine, Ingress: "a", Home: true})
				o.Release(Release{Permit: answer.Permit, Engine: engine})
			}
		})
	}
}

// BenchmarkRanking measures the ranking of one chat's engines at its ingress.
func BenchmarkRanking(b *testing.B) {
	for _, engines := range []int{20, 200, 1400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			n := newNetwork(b, engines, "a")
			placer := n.routers["a"].ingress.Placer
			b.ReportAllocs()
			b.ResetTimer()
			for k := range b.N {
				if _, err := placer.Ranking(n.doc, n.chatRequest(k)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlacements measures the placement records of 400,000 chats: the time of a
// change with a look-up, and the bytes for each chat.
func BenchmarkPlacements(b *testing.B) {
	const chats = 400_000
	names := make([]ChatKey, chats)
	for k := range names {
		names[k] = ChatKey(fmt.Sprintf("organisation/chat-%d", k))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := NewPlacements()
	for k, chat := range names {
		t.Set(chat, engineName(k%20), chats)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	b.ResetTimer()
	for k := range b.N {
		t.Set(names[k%chats], "engine-1", chats)
		t.Get(names[(k+chats/2)%chats])
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/chats, "bytes/chat")
	runtime.KeepAlive(t)
}
