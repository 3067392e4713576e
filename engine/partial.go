package engine

import (
	"encoding/json"
	"strings"
)

// Partial gathers the answer that has been delivered, so that another engine
// can go on where one was lost. Only text can be continued.
type Partial struct {
	text     strings.Builder
	chunks   int // chunks with text
	id       json.RawMessage
	created  json.RawMessage
	finished bool // a finish reason was delivered
	opaque   bool // something else than text was delivered
	base     int  // chunks with text before the present engine's first
	form     chunkForm
}

// partialChunk is what a Partial reads of a chunk.
type partialChunk struct {
	ID      json.RawMessage `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []struct {
		Delta  map[string]json.RawMessage `json:"delta"`
		Finish *string                    `json:"finish_reason"`
	} `json:"choices"`
}

// Add takes one delivered chunk.
func (p *Partial) Add(data []byte) {
	if text, ok := p.form.text(data); ok {
		p.text.Write(text)
		p.chunks++
		return
	}
	var c partialChunk
	if err := json.Unmarshal(data, &c); err != nil {
		p.opaque = true
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
	if c.onlyText() {
		p.form = newChunkForm(data)
	}
}

func (p *Partial) addDelta(delta map[string]json.RawMessage) {
	for name, value := range delta {
		switch name {
		case "role":
		case "content":
			var text string
			if json.Unmarshal(value, &text) != nil {
				p.opaque = string(value) != "null" || p.opaque
				continue
			}
			if text != "" {
				p.text.WriteString(text)
				p.chunks++
			}
		default:
			p.opaque = p.opaque || string(value) != "null"
		}
	}
}

// Base returns the number of chunks with text that came from engines before
// the present one.
func (p *Partial) Base() int { return p.base }

// Resume begins with an answer of which base chunks came from engines before.
// Such an answer cannot be continued, because its text is not known here.
func (p *Partial) Resume(base int) {
	p.base = base
	p.opaque = base > 0
}

// Finished returns whether the answer's text is complete.
func (p *Partial) Finished() bool { return p.finished }

// limitNames are the fields that bound the length of an answer in tokens.
var limitNames = []string{"max_completion_tokens", "max_tokens"}

// Continue returns the body of the request that lets another engine go on
// after the delivered text, and whether that is possible. Each chunk counts
// as one token of the length that the caller allowed.
func (p *Partial) Continue(body []byte) ([]byte, bool) {
	fields := map[string]json.RawMessage{}
	var messages []json.RawMessage
	if p.opaque || json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["messages"], &messages) != nil {
		return nil, false
	}
	for _, name := range limitNames {
		var limit int
		if json.Unmarshal(fields[name], &limit) != nil || limit <= 0 {
			continue
		}
		if limit <= p.chunks {
			return nil, false
		}
		fields[name] = encode(limit - p.chunks)
	}
	if p.chunks > 0 {
		messages = append(messages, encode(map[string]string{"role": "assistant", "content": p.text.String()}))
		fields["messages"] = encode(messages)
		fields["continue_final_message"] = encode(true)
		fields["add_generation_prompt"] = encode(false)
	}
	p.base = p.chunks
	return encode(fields), true
}

// Edit makes a chunk of a continuing engine fit to those delivered before.
func (p *Partial) Edit(data []byte) []byte {
	if p.base == 0 {
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
		fields["usage"] = p.movedUsage(usage)
	}
	return encode(fields)
}

// withoutRole removes the role that begins an answer.
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

// movedUsage counts the delivered text as answer and not as prompt.
func (p *Partial) movedUsage(usage json.RawMessage) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(usage, &fields) != nil || fields == nil {
		return usage
	}
	p.shift(fields, "prompt_tokens", -p.base)
	p.shift(fields, "completion_tokens", p.base)
	return encode(fields)
}

func (p *Partial) shift(fields map[string]json.RawMessage, name string, by int) {
	var n int
	if json.Unmarshal(fields[name], &n) == nil {
		fields[name] = encode(max(n+by, 0))
	}
}

// encode encodes values that always have a JSON form.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
