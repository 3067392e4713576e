package engine

import (
	"bytes"
	"encoding/json"
	"strconv"
	"testing"
)

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: s:0\ndata: {}\n\nid: s:1\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\r\n\r\ndata: a\ndata: b\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newEventReader(bytes.NewReader(body), func() {})
		size := 0
		for {
			event, err := r.next()
			if err != nil {
				break
			}
			size += len(event.data)
			if stream, offset, err := parseID(event.id); err == nil {
				again, o, err := parseID(stream + ":" + strconv.Itoa(offset))
				if err != nil || again != stream || o != offset {
					t.Errorf("id %q parses as %q %d, and re-encoded as %q %d", event.id, stream, offset, again, o)
				}
			}
		}
		if size > len(body) {
			t.Errorf("%d bytes of events in a body of %d", size, len(body))
		}
	})
}

func FuzzPartial(f *testing.F) {
	f.Add([]byte(`{"id":"c","choices":[{"delta":{"role":"assistant","content":"a"}}]}`), []byte(`{"messages":[],"max_tokens":5}`))
	f.Add([]byte(`{"choices":[{"delta":{"tool_calls":[]}}]}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, chunk, request []byte) {
		var p PartialAnswer
		p.Add(chunk)
		if body, ok := p.Continue(request); ok && !json.Valid(body) {
			t.Errorf("continuation request is not JSON: %s", body)
		}
		if got := p.RewriteChunk(chunk); json.Valid(chunk) && !json.Valid(got) {
			t.Errorf("edited chunk is not JSON: %s", got)
		}
	})
}
