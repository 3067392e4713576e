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

// continueFrom makes the run continue after the text of the last message. It returns
// false unless that text is a prefix of the run's answer. The token limit of a bounded
// run covers only the tokens still to be generated.
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
		// The total exceeds the token's index, so that no token gets the end mark.
		text.WriteString(engineToken(r.request, r.hash, r.priorTokens, r.priorTokens+r.limit+1))
		r.priorTokens++
	}
	r.tokens = r.priorTokens
	if bounded {
		r.limit += r.priorTokens
	}
	return text.String() == last.Content
}
