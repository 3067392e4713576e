package engine

import (
	"encoding/json"
	"strings"
)

// PartialAnswer accumulates the chunks of an answer that were delivered to the caller, so
// that another engine can continue the answer if its engine is lost. Only answers
// of text can be continued.
type PartialAnswer struct {
	text           strings.Builder
	textChunks     int // number of chunks with text
	id             json.RawMessage
	created        json.RawMessage
	finished       bool // a finish reason was delivered
	notContinuable bool // something other than text was delivered, or text that is not known here
	previousChunks int  // number of chunks with text from previous engines
	template       chunkTemplate
}

// maxPartialBytes is the longest text in bytes that another engine can continue. It limits the memory
// of an answer that does not end.
const maxPartialBytes = 1 << 20

// partialChunk holds the fields of a chunk that a Partial reads.
type partialChunk struct {
	ID      json.RawMessage `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []struct {
		Delta  map[string]json.RawMessage `json:"delta"`
		Finish *string                    `json:"finish_reason"`
	} `json:"choices"`
}

// Add records one delivered chunk.
func (p *PartialAnswer) Add(data []byte) {
	if text, ok := p.template.text(data); ok {
		p.addText(text)
		return
	}
	var c partialChunk
	if err := json.Unmarshal(data, &c); err != nil {
		p.notContinuable = true
		return
	}
	if p.id == nil {
		p.id, p.created = c.ID, c.Created
	}
	for _, choice := range c.Choices {
		p.addDelta(choice.Delta)
		if choice.Finish != nil && *choice.Finish != "" {
			p.finished = true
		}
	}
	if c.isTextOnly() {
		p.template = newChunkTemplate(data)
	}
}

// addText records the text of a chunk. Text beyond maxPartialBytes is dropped, and the answer cannot
// be continued any more.
func (p *PartialAnswer) addText(text []byte) {
	p.textChunks++
	if p.text.Len()+len(text) > maxPartialBytes {
		p.notContinuable = true
		p.text.Reset()
	}
	p.text.Write(text)
}

func (p *PartialAnswer) addDelta(delta map[string]json.RawMessage) {
	for name, value := range delta {
		switch name {
		case "role":
		case "content":
			var text string
			if json.Unmarshal(value, &text) != nil {
				p.notContinuable = string(value) != "null" || p.notContinuable
				continue
			}
			if text != "" {
				p.addText([]byte(text))
			}
		default:
			p.notContinuable = p.notContinuable || string(value) != "null"
		}
	}
}

// PreviousChunks returns the number of chunks with text from engines before the current one.
func (p *PartialAnswer) PreviousChunks() int { return p.previousChunks }

// Resume starts from an answer of which the first base chunks with text came from
// previous engines. If there are any, the answer cannot be continued, because their
// text is not known here.
func (p *PartialAnswer) Resume(base int) {
	p.previousChunks = base
	p.notContinuable = base > 0
}

// Finished reports whether a finish reason was delivered, after which no text follows.
func (p *PartialAnswer) Finished() bool { return p.finished }

// lengthLimitFields are the request fields that limit the length of an answer in tokens.
var lengthLimitFields = []string{"max_completion_tokens", "max_tokens"}

// Continue returns the body of a request that makes another engine continue after
// the delivered text, and whether that is possible. Each delivered chunk counts as
// one token of the caller's length limit.
func (p *PartialAnswer) Continue(body []byte) ([]byte, bool) {
	fields := map[string]json.RawMessage{}
	var messages []json.RawMessage
	if p.notContinuable || json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["messages"], &messages) != nil {
		return nil, false
	}
	for _, name := range lengthLimitFields {
		var limit int
		if json.Unmarshal(fields[name], &limit) != nil || limit <= 0 {
			continue
		}
		if limit <= p.textChunks {
			return nil, false
		}
		fields[name] = encode(limit - p.textChunks)
	}
	if p.textChunks > 0 {
		messages = append(messages, encode(map[string]string{"role": "assistant", "content": p.text.String()}))
		fields["messages"] = encode(messages)
		fields["continue_final_message"] = encode(true)
		fields["add_generation_prompt"] = encode(false)
	}
	p.previousChunks = p.textChunks
	return encode(fields), true
}

// RewriteChunk rewrites a chunk of an engine that continues an answer, so that its id,
// creation time, role and usage match the chunks of the previous engines.
func (p *PartialAnswer) RewriteChunk(data []byte) []byte {
	if p.previousChunks == 0 {
		return data
	}
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	if p.id != nil {
		fields["id"], fields["created"] = p.id, p.created
	}
	fields["choices"] = withoutRole(fields["choices"])
	if usage, ok := fields["usage"]; ok {
		fields["usage"] = p.adjustUsage(usage)
	}
	return encode(fields)
}

// withoutRole removes the role, which only the first chunk of an answer has.
func withoutRole(choices json.RawMessage) json.RawMessage {
	var list []map[string]json.RawMessage
	if json.Unmarshal(choices, &list) != nil {
		return choices
	}
	for _, choice := range list {
		delta := map[string]json.RawMessage{}
		if json.Unmarshal(choice["delta"], &delta) != nil {
			continue
		}
		delete(delta, "role")
		choice["delta"] = encode(delta)
	}
	return encode(list)
}

// adjustUsage moves the tokens of the previously delivered text from the prompt,
// where the continuing engine counts them, to the completion.
func (p *PartialAnswer) adjustUsage(usage json.RawMessage) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(usage, &fields) != nil || fields == nil {
		return usage
	}
	p.addTokens(fields, "prompt_tokens", -p.previousChunks)
	p.addTokens(fields, "completion_tokens", p.previousChunks)
	return encode(fields)
}

func (p *PartialAnswer) addTokens(fields map[string]json.RawMessage, name string, by int) {
	var n int
	if json.Unmarshal(fields[name], &n) == nil {
		fields[name] = encode(max(n+by, 0))
	}
}

// encode encodes a value that can always be encoded as JSON.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
