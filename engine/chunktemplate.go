package engine

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// contentPrefix is the JSON right before the text of a chunk.
var contentPrefix = []byte(`"delta":{"content":"`)

// chunkTemplate holds the bytes around the text that most chunks of an answer
// have in common. The text of a chunk that matches the template is extracted
// without decoding its JSON.
type chunkTemplate struct {
	prefix []byte
	suffix []byte
}

// newChunkTemplate returns the template of a decoded chunk that holds nothing but
// text. The template is empty, and matches no chunk, if the position of the text
// is ambiguous.
func newChunkTemplate(data []byte) chunkTemplate {
	if bytes.Count(data, contentPrefix) != 1 {
		return chunkTemplate{}
	}
	begin := bytes.Index(data, contentPrefix) + len(contentPrefix)
	length := bytes.IndexByte(data[begin:], '"')
	if length < 0 || !isUnescaped(data[begin:begin+length]) {
		return chunkTemplate{}
	}
	return chunkTemplate{
		prefix: bytes.Clone(data[:begin]),
		suffix: bytes.Clone(data[begin+length:]),
	}
}

// text returns the text of a chunk, and false if the chunk does not match the template.
func (t chunkTemplate) text(data []byte) ([]byte, bool) {
	if t.prefix == nil || len(data) <= len(t.prefix)+len(t.suffix) {
		return nil, false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return nil, false
	}
	text := data[len(t.prefix) : len(data)-len(t.suffix)]
	return text, isUnescaped(text)
}

// isUnescaped reports whether the content of a JSON string has no escape sequences,
// so that its bytes are its value.
func isUnescaped(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// isTextOnly reports whether the chunk has one choice, with text and without a
// finish reason.
func (c partialChunk) isTextOnly() bool {
	if len(c.Choices) != 1 || c.Choices[0].Finish != nil {
		return false
	}
	delta := c.Choices[0].Delta
	var text string
	return len(delta) == 1 && json.Unmarshal(delta["content"], &text) == nil && text != ""
}
