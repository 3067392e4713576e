package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"peridotusher.example/peridotusher"
)

// chatBody is the part of a chat-completions request that routing needs.
type chatBody struct {
	Model          string        `json:"model"`
	Messages       []chatMessage `json:"messages"`
	Stream         bool          `json:"stream"`
	PromptCacheKey string        `json:"prompt_cache_key"`
	Choices        *int          `json:"n"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChatBody reads the caller's JSON and names what to change in it.
func parseChatBody(body []byte) (chatBody, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return b, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "the body is not valid chat-completions JSON: %v", err)
	}
	if b.Model == "" {
		return b, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "the field model is missing")
	}
	if len(b.Messages) == 0 {
		return b, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "the field messages is missing or empty")
	}
	if b.Choices != nil && *b.Choices != 1 {
		return b, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "the field n must be 1")
	}
	return b, nil
}

// chatKey identifies the chat: prompt_cache_key, else the chat header, else a
// hash of the opening messages. Keys of different
// organisations never collide.
func chatKey(r *http.Request, org string, b chatBody) peridotusher.ChatKey {
	name := b.PromptCacheKey
	if name == "" {
		name = r.Header.Get(chatHeader)
	}
	if name == "" {
		name = openingHash(b.Messages)
	}
	return peridotusher.ChatKeyOf(org, name)
}

// openingHash hashes the messages up to the first that the user wrote.
func openingHash(messages []chatMessage) string {
	h := sha256.New()
	for _, m := range messages {
		h.Write([]byte(m.Role))
		h.Write([]byte{0})
		h.Write(m.Content)
		h.Write([]byte{0})
		if m.Role == "user" {
			break
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
