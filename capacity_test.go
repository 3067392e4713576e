package peridotusher_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
)

// The benchmarks in this file measure the growth rates in docs/CAPACITY.md:
// go test . -run '^$' -bench Capacity -benchmem

var wallClock = peridotusher.ClockFunc(time.Now)

// capacityEngines returns n live engines of one model in 14 zones.
func capacityEngines(n int) *peridotusher.Engines {
	const zones = 14
	table := peridotusher.NewEngines()
	var list []peridotusher.Engine
	for i := range n {
		list = append(list, peridotusher.NewEngine(peridotusher.EngineID(fmt.Sprint("engine-", i)), peridotusher.Zone(fmt.Sprint("zone-", i%zones)), "10.0.0.1:80"))
	}
	table.SetListed(list)
	for _, e := range list {
		table.SetReport(e.ID(), peridotusher.EngineReport{Versions: []peridotusher.LoadedVersion{{Model: "stylist", Version: "v1", Ready: true}, {Model: "stylist", Version: "v2", Ready: true}}})
	}
	return table
}

func capacityDocument(b *testing.B, organisations int) ([]byte, *document.Document) {
	b.Helper()
	var text bytes.Buffer
	text.Write(bytes.ReplaceAll(examples.Kalimera, []byte("zones = a, b, c\n"), nil))
	for i := range organisations {
		fmt.Fprintf(&text, "\n[organisation o-%d]\nweight = 1\nworth = 1\nkeys = %s\nclass = chat\n", i, document.HashKey(fmt.Sprint(i)))
	}
	doc, problems := document.Parse("capacity.ini", text.Bytes())
	if len(problems) > 0 {
		b.Fatal(problems[0])
	}
	return text.Bytes(), doc
}

func capacityRequest(i int) peridotusher.Request {
	return peridotusher.Request{ID: peridotusher.RequestID(fmt.Sprint(i)), Chat: peridotusher.ChatKey(fmt.Sprint("chat-", i%100_000)), Organisation: "shop-athina", Model: "stylist", Class: "chat", Work: 1}
}

// BenchmarkCapacityRanking measures the ranking of the engines of one model.
func BenchmarkCapacityRanking(b *testing.B) {
	_, doc := capacityDocument(b, 0)
	for _, n := range []int{20, 88, 350, 1400} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			placer := &peridotusher.Placer{Engines: capacityEngines(n)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := placer.Ranking(doc, capacityRequest(i)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCapacityOwner measures the look-up of owners while members do not change.
func BenchmarkCapacityOwner(b *testing.B) {
	for _, n := range []int{6, 60, 370} {
		b.Run(fmt.Sprint("routers=", n), func(b *testing.B) {
			members := capacityMembers(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				members.OwnerOf(peridotusher.EngineID(fmt.Sprint("engine-", i%1400)), peridotusher.Zone(fmt.Sprint("zone-", i%14)))
			}
		})
	}
}

// BenchmarkCapacityOwnerAfterChange computes the owners of 100 engines after a
// member has changed.
func BenchmarkCapacityOwnerAfterChange(b *testing.B) {
	for _, n := range []int{6, 60, 370} {
		b.Run(fmt.Sprint("routers=", n), func(b *testing.B) {
			members := capacityMembers(n)
			for i := 0; b.Loop(); i++ {
				members.ReceiveHeartbeat(peridotusher.NewMember("router-1", "zone-1", "10.0.0.1:1", uint64(i+2)))
				for e := range 100 {
					members.OwnerOf(peridotusher.EngineID(fmt.Sprint("engine-", e)), peridotusher.Zone(fmt.Sprint("zone-", e%14)))
				}
			}
		})
	}
}

func capacityMembers(n int) *peridotusher.Members {
	members := peridotusher.NewMembers(peridotusher.NewMember("router-0", "zone-0", "10.0.0.0:1", 1), wallClock)
	for i := 1; i < n; i++ {
		members.ReceiveHeartbeat(peridotusher.NewMember(peridotusher.RouterID(fmt.Sprint("router-", i)), peridotusher.Zone(fmt.Sprint("zone-", i%14)), fmt.Sprint("10.0.0.1:", i), 1))
	}
	return members
}

// BenchmarkCapacityDocument measures the parsing of a document and its memory.
func BenchmarkCapacityDocument(b *testing.B) {
	for _, n := range []int{10, 1000, 4000, 8300} {
		text, _ := capacityDocument(b, n)
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "text-B")
			for b.Loop() {
				if _, problems := document.Parse("capacity.ini", text); len(problems) > 0 {
					b.Fatal(problems[0])
				}
			}
			b.ReportMetric(heldBytes(func() any { d, _ := document.Parse("capacity.ini", text); return d }), "held-B")
		})
	}
}

// BenchmarkCapacityBurn measures the counting of requests of many organisations against their error
// budgets.
func BenchmarkCapacityBurn(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 8300} {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			fill := func() any {
				burn := peridotusher.NewBurn(wallClock, peridotusher.MaxBurnSeries)
				for i := range n {
					burn.Record(peridotusher.Outcome{Organisation: fmt.Sprint(i), Class: "chat", Value: 1, Objective: 0.99, Good: true})
				}
				return burn
			}
			burn := fill().(*peridotusher.Burn)
			for i := 0; b.Loop(); i++ {
				burn.Record(peridotusher.Outcome{Organisation: fmt.Sprint(i % n), Class: "chat", Value: 1, Objective: 0.99, Good: true})
			}
			b.ReportMetric(heldBytes(fill), "held-B")
		})
	}
}

// heldBytes returns the heap memory held by the result of make.
func heldBytes(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return float64(int64(after.HeapAlloc) - int64(before.HeapAlloc))
}
