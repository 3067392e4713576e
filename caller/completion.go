package caller

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// completionBuilder combines the chunks of a stream into one completion object.
type completionBuilder struct {
	first   completionChunk
	role    string
	content strings.Builder
	finish  string
	usage   json.RawMessage
	chunks  int
}

type completionChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// add appends one chunk.
func (b *completionBuilder) add(data []byte) error {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseEndpointError, errors.Wrap(err, "the engine sent an unreadable chunk"))
	}
	if b.chunks == 0 {
		b.first = c
	}
	b.chunks++
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		b.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Delta.Role != "" {
			b.role = choice.Delta.Role
		}
		b.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			b.finish = choice.FinishReason
		}
	}
	return nil
}

// build returns the complete answer.
func (b *completionBuilder) build() (completion, error) {
	if b.finish == "" {
		return completion{}, peridotusher.Fail(peridotusher.Ran, peridotusher.CauseEndpointError, "the engine ended the answer without a finish reason")
	}
	role := b.role
	if role == "" {
		role = "assistant"
	}
	return completion{
		ID:      b.first.ID,
		Object:  "chat.completion",
		Created: b.first.Created,
		Model:   b.first.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: role, Content: b.content.String()},
			FinishReason: b.finish,
		}},
		Usage: b.usage,
	}, nil
}
