package caller

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// wholeAnswer gathers the chunks of a stream into one answer object.
type wholeAnswer struct {
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
func (a *wholeAnswer) add(data []byte) error {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseEndpointError, errors.Wrap(err, "the engine sent an unreadable chunk"))
	}
	if a.chunks == 0 {
		a.first = c
	}
	a.chunks++
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Delta.Role != "" {
			a.role = choice.Delta.Role
		}
		a.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			a.finish = choice.FinishReason
		}
	}
	return nil
}

// body returns the whole answer.
func (a *wholeAnswer) body() (completion, error) {
	if a.finish == "" {
		return completion{}, peridotusher.Fail(peridotusher.Ran, peridotusher.CauseEndpointError, "the engine ended the answer without a finish reason")
	}
	role := a.role
	if role == "" {
		role = "assistant"
	}
	return completion{
		ID:      a.first.ID,
		Object:  "chat.completion",
		Created: a.first.Created,
		Model:   a.first.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: role, Content: a.content.String()},
			FinishReason: a.finish,
		}},
		Usage: a.usage,
	}, nil
}
