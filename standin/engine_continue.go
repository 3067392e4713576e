package standin

import (
	"encoding/json"
	"strings"
)

// engineMessage is one message of a chat.
type engineMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continueFrom makes the run go on after the text of the last message, which
// has to be the beginning of the answer that the run gives. A bounded run has
// a limit of the tokens that are left.
func (r *engineRun) continueFrom(messages []byte, bounded bool) bool {
	var list []json.RawMessage
	var last engineMessage
	if json.Unmarshal(messages, &list) != nil || len(list) == 0 {
		return false
	}
	if json.Unmarshal(list[len(list)-1], &last) != nil || last.Role != "assistant" {
		return false
	}
	before, err := json.Marshal(list[:len(list)-1])
	if err != nil {
		return false
	}
	r.hash = engineHash(before)
	var text strings.Builder
	for text.Len() < len(last.Content) {
		// The answer is longer than what has come of it, so that this is not its last token.
		text.WriteString(engineToken(r.request, r.hash, r.begun, r.begun+r.limit+1))
		r.begun++
	}
	r.tokens = r.begun
	if bounded {
		r.limit += r.begun
	}
	return text.String() == last.Content
}
