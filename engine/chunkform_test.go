package engine

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPartialOfOneForm(t *testing.T) {
	const before = `{"id":"c1","created":1,"choices":[{"delta":{"content":"`
	const after = `"},"finish_reason":null}]}`
	tests := []struct {
		name   string
		chunks []string
		text   string
		chunk  int
		opaque bool
		ended  bool
	}{
		{name: "plain", chunks: []string{before + "a" + after, before + "b c" + after}, text: "ab c", chunk: 2},
		{name: "escaped", chunks: []string{before + "a" + after, before + `\"\n` + after}, text: "a\"\n", chunk: 2},
		{name: "empty", chunks: []string{before + "a" + after, before + after}, text: "a", chunk: 1},
		{name: "more keys in the text's place", chunks: []string{before + "a" + after, before + `b","tool_calls":[1],"x":"` + after}, text: "ab", chunk: 2, opaque: true},
		{name: "end", chunks: []string{before + "a" + after, before + `b"},"finish_reason":"stop"}]}`}, text: "ab", chunk: 2, ended: true},
		{name: "invalid", chunks: []string{before + "a" + after, before + "b" + after[1:]}, text: "a", chunk: 1, opaque: true},
		{name: "two choices", chunks: []string{
			`{"id":"c1","choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`,
			`{"id":"c1","choices":[{"delta":{"content":"c"}},{"delta":{"content":"d"}}]}`,
		}, text: "abcd", chunk: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Partial
			for _, chunk := range tt.chunks {
				p.Add([]byte(chunk))
			}
			want := []any{tt.text, tt.chunk, tt.opaque, tt.ended}
			got := []any{p.text.String(), p.chunks, p.opaque, p.finished}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("text, chunks, opaque, finished (-want +got):\n%s", diff)
			}
		})
	}
}
