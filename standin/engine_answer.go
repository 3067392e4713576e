package standin

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// engineBytesPerToken is the length of text that counts as one prompt token.
const engineBytesPerToken = 4

// EngineAnswer returns the complete text with which an Engine answers a request,
// so that a caller can detect a truncated answer or that of another request. The
// messages are the JSON of the request's messages field.
func EngineAnswer(request string, messages []byte, tokens int) (string, error) {
	canonical, err := engineCanonical(messages)
	if err != nil {
		return "", err
	}
	hash := engineHash(canonical)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engineToken(request, hash, i, tokens))
	}
	return text.String(), nil
}

// engineCanonical returns JSON with sorted keys and no spaces.
func engineCanonical(b []byte) ([]byte, error) {
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, err
	}
	return json.Marshal(v)
}

// engineHash returns the hash that identifies a request's messages in its answer.
func engineHash(canonical []byte) string {
	return strconv.FormatUint(xxhash.Sum64(canonical), 16)
}

// engineChunk is one chunk of a streamed chat completion.
type engineChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Finger  string         `json:"system_fingerprint"`
	Choices []engineChoice `json:"choices"`
	Usage   *engineUsage   `json:"usage,omitempty"`
}

// engineChoice is the only choice of a chunk.
type engineChoice struct {
	Index  int         `json:"index"`
	Delta  engineDelta `json:"delta"`
	Finish *string     `json:"finish_reason"`
}

// engineDelta is the text that a chunk adds.
type engineDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// engineUsage counts a request's tokens.
type engineUsage struct {
	Prompt     int                `json:"prompt_tokens"`
	Completion int                `json:"completion_tokens"`
	Total      int                `json:"total_tokens"`
	Details    engineUsageDetails `json:"prompt_tokens_details"`
}

// engineUsageDetails counts the prompt tokens found in the cache.
type engineUsageDetails struct {
	Cached int `json:"cached_tokens"`
}

// base returns a chunk of the run without choices.
func (r *engineRun) base() engineChunk {
	return engineChunk{
		ID:      "chatcmpl-" + r.request,
		Object:  "chat.completion.chunk",
		Model:   r.model,
		Finger:  r.hash,
		Choices: []engineChoice{},
	}
}

// chunk returns the JSON of a chunk with text or a finish reason.
func (r *engineRun) chunk(text, finish string) string {
	choice := engineChoice{Delta: engineDelta{Content: text}}
	if r.tokens == 0 {
		choice.Delta.Role = "assistant"
	}
	if finish != "" {
		choice.Finish = &finish
	}
	c := r.base()
	c.Choices = append(c.Choices, choice)
	return engineJSON(c)
}

// usage returns the JSON of the chunk that counts the tokens.
func (r *engineRun) usage() string {
	c := r.base()
	c.Usage = &engineUsage{
		Prompt:     r.prompt,
		Completion: r.tokens - r.priorTokens,
		Total:      r.prompt + r.tokens - r.priorTokens,
		Details:    engineUsageDetails{Cached: r.cached},
	}
	return engineJSON(c)
}

// engineJSON encodes a wire type. It panics on an error, which no wire type causes.
func engineJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}
