package engine

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// contentMark comes before the text of a chunk.
var contentMark = []byte(`"delta":{"content":"`)

// chunkForm is what the chunks of an answer have in common around their text.
// A chunk of the same form differs in its text only, so it needs no decoding.
type chunkForm struct {
	before []byte
	after  []byte
}

// newChunkForm returns the form of a chunk that was decoded and holds nothing
// but text. The form is empty if the text's place is not certain.
func newChunkForm(data []byte) chunkForm {
	if bytes.Count(data, contentMark) != 1 {
		return chunkForm{}
	}
	begin := bytes.Index(data, contentMark) + len(contentMark)
	length := bytes.IndexByte(data[begin:], '"')
	if length < 0 || !isPlain(data[begin:begin+length]) {
		return chunkForm{}
	}
	return chunkForm{
		before: bytes.Clone(data[:begin]),
		after:  bytes.Clone(data[begin+length:]),
	}
}

// text returns the text of a chunk of this form.
func (f chunkForm) text(data []byte) ([]byte, bool) {
	if f.before == nil || len(data) <= len(f.before)+len(f.after) {
		return nil, false
	}
	if !bytes.HasPrefix(data, f.before) || !bytes.HasSuffix(data, f.after) {
		return nil, false
	}
	text := data[len(f.before) : len(data)-len(f.after)]
	return text, isPlain(text)
}

// isPlain returns whether a JSON string is written as its bytes.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// onlyText returns whether the chunk is one choice with text and no end.
func (c partialChunk) onlyText() bool {
	if len(c.Choices) != 1 || c.Choices[0].Finish != nil {
		return false
	}
	delta := c.Choices[0].Delta
	var text string
	return len(delta) == 1 && json.Unmarshal(delta["content"], &text) == nil && text != ""
}
