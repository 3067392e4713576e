package engine

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPartialWithChunkTemplate(t *testing.T) {
	const before = `{"id":"c1","created":1,"choices":[{"delta":{"content":"`
	const after = `"},"finish_reason":null}]}`
	tests := []struct {
		name           string
		chunks         []string
		text           string
		textChunks     int
		notContinuable bool
		finished       bool
	}{
		{name: "plain", chunks: []string{before + "a" + after, before + "b c" + after}, text: "ab c", textChunks: 2},
		{name: "escaped", chunks: []string{before + "a" + after, before + `\"\n` + after}, text: "a\"\n", textChunks: 2},
		{name: "empty", chunks: []string{before + "a" + after, before + after}, text: "a", textChunks: 1},
		{name: "more keys after the text", chunks: []string{before + "a" + after, before + `b","tool_calls":[1],"x":"` + after}, text: "ab", textChunks: 2, notContinuable: true},
		{name: "end", chunks: []string{before + "a" + after, before + `b"},"finish_reason":"stop"}]}`}, text: "ab", textChunks: 2, finished: true},
		{name: "invalid", chunks: []string{before + "a" + after, before + "b" + after[1:]}, text: "a", textChunks: 1, notContinuable: true},
		{name: "two choices", chunks: []string{
			`{"id":"c1","choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`,
			`{"id":"c1","choices":[{"delta":{"content":"c"}},{"delta":{"content":"d"}}]}`,
		}, text: "abcd", textChunks: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p PartialAnswer
			for _, chunk := range tt.chunks {
				p.Add([]byte(chunk))
			}
			want := []any{tt.text, tt.textChunks, tt.notContinuable, tt.finished}
			got := []any{p.text.String(), p.textChunks, p.notContinuable, p.finished}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("text, textChunks, notContinuable, finished (-want +got):\n%s", diff)
			}
		})
	}
}
