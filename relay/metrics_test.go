package relay

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestCounters has one prompt read by a replica that lacks its parts, one that
// finds them, and a call that fails at one replica and is repeated.
func TestCounters(t *testing.T) {
	count := func(b *bed, raws ...string) string {
		set := metrics.NewSet()
		b.front.Metrics = NewMetrics(set)
		for _, raw := range raws {
			b.ask(raw)
		}
		var out bytes.Buffer
		set.WritePrometheus(&out)
		return out.String()
	}
	prompt := post("Prompt: large1 own1\r\nContent-Length: 0\r\n", "")
	broken := say("HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", true)
	sound := say("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", true)
	tests := []struct {
		name string
		out  string
		want []string
	}{
		{"prompts", count(newBed(t, stream, from), prompt, prompt), []string{
			`peridotusher_parts_total{route="r",how="read"} 1`,
			`peridotusher_parts_total{route="r",how="held"} 1`,
			`peridotusher_own_seconds_count{route="r"} 2`,
			`peridotusher_requests_total{route="r",outcome="answered"} 2`,
		}},
		{"a repeated call", count(newBed(t, repeatable, broken, sound), get(""), get(""), get(""), get("")), []string{
			`peridotusher_repeats_total{route="r",outcome="allowed"}`,
		}},
	}
	for _, test := range tests {
		for _, want := range test.want {
			if !strings.Contains(test.out, want) {
				t.Errorf("%s: the counters lack %s:\n%s", test.name, want, test.out)
			}
		}
	}
}
