package engine

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkEvent reads the events of a stream and adds them to a Partial.
func BenchmarkEvent(b *testing.B) {
	const events = 1000
	var text strings.Builder
	for n := range events {
		fmt.Fprintf(&text, "id: stream-1:%d\ndata: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word %d \"},\"finish_reason\":null}]}\n\n", n, n)
	}
	b.ReportAllocs()
	var partial PartialAnswer
	reader := newEventReader(strings.NewReader(text.String()), func() {})
	for n := range b.N {
		if n%events == 0 {
			partial = PartialAnswer{}
			reader = newEventReader(strings.NewReader(text.String()), func() {})
		}
		event, err := reader.next()
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := parseID(event.id); err != nil {
			b.Fatal(err)
		}
		partial.Add(event.data)
	}
}
