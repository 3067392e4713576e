package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/routing"
)

// newMemoryFixture returns a router with two model replicas that have the given memory in tokens.
func newMemoryFixture(t *testing.T, memory int) *fixture {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true), respond(okAnswer, true))
	doc := *b.proxy.Current.Load()
	doc.Version++
	doc.Services = map[string]*routing.Service{"s": {Name: "s", RunsModel: true, MemoryTokens: memory}}
	doc.Seal()
	b.proxy.Current.Offer(&doc)
	return b
}

// TestTokenMemoryLimitsChoice guards against requests that are sent to a replica where they do
// not fit while they fit elsewhere, and against requests that are refused because they fit
// nowhere.
func TestTokenMemoryLimitsChoice(t *testing.T) {
	tests := []struct {
		name   string
		memory int
		tokens string
		used   []int  // tokens occupied at the replicas
		want   string // the replica in the own zone is preferred
	}{
		{"fits at both", 1000, "400", []int{600, 0}, "a"},
		{"does not fit at the first", 1000, "401", []int{600, 0}, "b"},
		{"fits at neither", 1000, "401", []int{600, 900}, "a"},
		{"larger than the memory", 1000, "5000", []int{0, 0}, "a"},
		{"memory unknown", 0, "401", []int{600, 0}, "a"},
		{"tokens not stated", 1000, "", []int{2000, 0}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newMemoryFixture(t, tt.memory)
			for i, r := range b.proxy.Table.Ready("s") {
				defer r.ReserveTokens(tt.used[i])()
			}
			resp, body, _ := b.send(get("Tokens: " + tt.tokens + "\r\n"))
			if resp == nil || body != "hello" {
				t.Fatalf("answer %v, %q", resp, body)
			}
			if got := b.requests()[0].replica; got != tt.want {
				t.Errorf("sent to %s, want %s", got, tt.want)
			}
			var out bytes.Buffer
			b.counters.WritePrometheus(&out)
			if got := strings.Contains(out.String(), `peridotusher_without_memory_total{service="s"} 1`); got != (tt.want == "b") {
				t.Errorf("a replica without memory is counted: %v:\n%s", got, out.String())
			}
		})
	}
}

// TestTokensOccupiedInFlight guards against requests whose tokens are not counted while they run,
// or are still counted after their end.
func TestTokensOccupiedInFlight(t *testing.T) {
	b := newMemoryFixture(t, 1000)
	b.proxy.Dialect = watchingDialect{b: b, seen: func(tokens int) {
		if tokens != 300 {
			t.Errorf("%d tokens are occupied while a request is answered, want 300", tokens)
		}
	}}
	for i := range 5 {
		raw := strings.Replace(get("Tokens: 300\r\n"), "Id: 1", fmt.Sprintf("Id: %d", i), 1)
		if resp, body, _ := b.send(raw); resp == nil || body != "hello" {
			t.Fatalf("answer %v, %q", resp, body)
		}
		b.awaitIdle(i + 1) // the router has finished the request, too
	}
	for _, r := range b.proxy.Table.Ready("s") {
		if got := r.ReservedTokens(); got != 0 {
			t.Errorf("%d tokens are occupied at %s after all requests ended", got, r.ID())
		}
	}
}

// watchingDialect reports the tokens that are occupied while an answer is read.
type watchingDialect struct {
	testDialect
	b    *fixture
	seen func(tokens int)
}

func (d watchingDialect) ReadReply(resp *http.Response) Reply {
	sum := 0
	for _, r := range d.b.proxy.Table.Ready("s") {
		sum += r.ReservedTokens()
	}
	d.seen(sum)
	return d.testDialect.ReadReply(resp)
}

// TestCachedPartsNeedNoMemory guards against shared parts that are counted again at a replica
// that has them cached.
func TestCachedPartsNeedNoMemory(t *testing.T) {
	b := newMemoryFixture(t, 1000)
	ready := b.proxy.Table.Ready("s")
	const part = 7
	b.proxy.Directory.Place(placing.Placement{Key: part, Replica: ready[0].Hash()})
	for _, r := range ready {
		defer r.ReserveTokens(800)()
	}
	request := &task{
		proxy: b.proxy, doc: b.proxy.Current.Load(), route: &routing.Route{Cached: true}, serviceName: "s",
		call: Call{Tokens: 700, Prompt: []Part{{ID: part, Tokens: 600}, {ID: 8, Tokens: 50}}},
	}
	if fit := request.withMemory(ready); !slices.Equal(fit, ready[:1]) {
		t.Errorf("the request fits at %d replicas, want only the holder of the part", len(fit))
	}
}
