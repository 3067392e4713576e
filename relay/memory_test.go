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

// memoryBed returns a front before two model replicas with a memory of 1000 tokens.
func memoryBed(t *testing.T, memory int) *bed {
	b := newBed(t, once, say(fine, true), say(fine, true))
	doc := *b.front.Current.Load()
	doc.Version++
	doc.Services = map[string]*routing.Service{"s": {Name: "s", RunsModel: true, MemoryTokens: memory}}
	doc.Seal()
	b.front.Current.Offer(&doc)
	return b
}

// TestMemory guards against requests that go where they do not fit while they fit
// elsewhere, and against requests that are refused or left without a replica for it.
func TestMemory(t *testing.T) {
	tests := []struct {
		name   string
		memory int
		tokens string
		used   []int  // tokens that are occupied at both replicas
		want   string // the replica of the own zone is preferred
	}{
		{"room at both", 1000, "400", []int{600, 0}, "a"},
		{"no room at the first", 1000, "401", []int{600, 0}, "b"},
		{"no room at both", 1000, "401", []int{600, 900}, "a"},
		{"larger than the memory", 1000, "5000", []int{0, 0}, "a"},
		{"memory not known", 0, "401", []int{600, 0}, "a"},
		{"tokens not told", 1000, "", []int{2000, 0}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := memoryBed(t, tt.memory)
			for i, r := range b.front.Table.Ready("s") {
				defer r.Occupy(tt.used[i])()
			}
			resp, body, _ := b.ask(get("Tokens: " + tt.tokens + "\r\n"))
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

// TestMemoryInFlight guards against requests whose tokens are not counted while a replica
// has them, or stay counted after their end.
func TestMemoryInFlight(t *testing.T) {
	b := memoryBed(t, 1000)
	b.front.Dialect = watchingDialect{b: b, seen: func(tokens int) {
		if tokens != 300 {
			t.Errorf("%d tokens are occupied while a request is answered, want 300", tokens)
		}
	}}
	for i := range 5 {
		raw := strings.Replace(get("Tokens: 300\r\n"), "Id: 1", fmt.Sprintf("Id: %d", i), 1)
		if resp, body, _ := b.ask(raw); resp == nil || body != "hello" {
			t.Fatalf("answer %v, %q", resp, body)
		}
		b.awaitIdle(i + 1) // the request has ended at the front, too
	}
	for _, r := range b.front.Table.Ready("s") {
		if got := r.Occupied(); got != 0 {
			t.Errorf("%d tokens are occupied at %s after all requests ended", got, r.ID())
		}
	}
}

// watchingDialect reports the tokens that are occupied when an answer is read.
type watchingDialect struct {
	testDialect
	b    *bed
	seen func(tokens int)
}

func (d watchingDialect) Reply(resp *http.Response) Reply {
	sum := 0
	for _, r := range d.b.front.Table.Ready("s") {
		sum += r.Occupied()
	}
	d.seen(sum)
	return d.testDialect.Reply(resp)
}

// TestMemoryOfHeldParts guards against shared parts that count again where they are cached.
func TestMemoryOfHeldParts(t *testing.T) {
	b := memoryBed(t, 1000)
	ready := b.front.Table.Ready("s")
	const part = 7
	b.front.Directory.Place(placing.Placement{Key: part, Replica: ready[0].Hash()})
	for _, r := range ready {
		defer r.Occupy(800)()
	}
	request := &task{
		front: b.front, doc: b.front.Current.Load(), route: &routing.Route{Cached: true}, serviceName: "s",
		call: Call{Tokens: 700, Prompt: []Part{{ID: part, Tokens: 600}, {ID: 8, Tokens: 50}}},
	}
	if fit := request.withMemory(ready); !slices.Equal(fit, ready[:1]) {
		t.Errorf("%d replicas have room, want the one that holds the part", len(fit))
	}
}
