package relay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/routing"
)

// TestCounters sends the same prompt twice: the replica first reads its shared parts and then holds
// them. It also sends a call that fails at one replica and is retried.
func TestCounters(t *testing.T) {
	count := func(b *fixture, raws ...string) string {
		for _, raw := range raws {
			b.send(raw)
		}
		var out bytes.Buffer
		b.counters.WritePrometheus(&out)
		return out.String()
	}
	prompt := post("Prompt: large1 own1\r\nContent-Length: 0\r\n", "")
	broken := respond("HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", true)
	healthy := respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", true)
	tests := []struct {
		name string
		out  string
		want []string
	}{
		{"prompts", count(newFixture(t, streaming, resumeAfter), prompt, prompt), []string{
			`peridotusher_parts_total{route="r",how="read"} 1`,
			`peridotusher_parts_total{route="r",how="held"} 1`,
			`peridotusher_own_seconds_count{route="r"} 2`,
			`peridotusher_requests_total{route="r",outcome="answered"} 2`,
		}},
		{"a retried call", count(newFixture(t, idempotent, broken, healthy), get(""), get(""), get(""), get("")), []string{
			`peridotusher_repeats_total{route="r",outcome="allowed"}`,
		}},
	}
	for _, test := range tests {
		for _, want := range test.want {
			if !strings.Contains(test.out, want) {
				t.Errorf("%s: the metrics lack %s:\n%s", test.name, want, test.out)
			}
		}
	}
}

// TestErrorBudget checks which requests count against the error budget: those that fail at the
// replica or find none do, and those that are answered in time do not. A request with an unknown key
// is the client's error and is not counted at all.
func TestErrorBudget(t *testing.T) {
	failing := respond("HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", true)
	public := nonIdempotent
	public.Public = true
	tests := []struct {
		name          string
		route         routing.Route
		script        script
		raw           string
		requests, bad float64
	}{
		{"in time", nonIdempotent, respond(okAnswer, true), get(""), 1, 0},
		{"in time without a key", public, respond(okAnswer, true), get(""), 1, 0},
		{"failed at the replica", nonIdempotent, failing, get(""), 1, 1},
		{"no replica", nonIdempotent, nil, get(""), 1, 1},
		{"unknown key", nonIdempotent, respond(okAnswer, true), strings.Replace(get(""), "Key: k", "Key: kk", 1), 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.script)
			b.proxy.Burn = peridotusher.NewBurn(b.proxy.Clock, 10)
			b.proxy.SuccessTarget = func() float64 { return 0.9 }
			b.send(tt.raw)
			var got peridotusher.BurnCount
			for _, row := range b.proxy.Burn.Report().Rows {
				if row.Key.Organisation == "" {
					got = row.Window(time.Hour)
				}
			}
			if got.Requests != tt.requests || got.Bad != tt.bad {
				t.Errorf("%v requests, %v of them bad, want %v and %v", got.Requests, got.Bad, tt.requests, tt.bad)
			}
		})
	}
}

// TestLateness checks answers that miss the objective for the first event, the objective for pauses,
// both or neither.
func TestLateness(t *testing.T) {
	route := &routing.Route{Objective: 500 * time.Millisecond, MaxPause: 600 * time.Millisecond}
	tests := []struct {
		first, pause time.Duration
		want         string
	}{
		{500 * time.Millisecond, 600 * time.Millisecond, ""},
		{501 * time.Millisecond, 0, "start"},
		{0, 601 * time.Millisecond, "pause"},
		{time.Second, time.Second, "start"},
	}
	for _, tt := range tests {
		answer := task{route: route, longestPause: tt.pause}
		if got := answer.lateness(tt.first); got != tt.want {
			t.Errorf("first event after %v, pause %v: late by %q, want %q", tt.first, tt.pause, got, tt.want)
		}
	}
	if got := (&task{route: &routing.Route{}, longestPause: time.Hour}).lateness(time.Hour); got != "" {
		t.Errorf("a route without objectives: late by %q", got)
	}
}
