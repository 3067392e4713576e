package caller

import (
	"bytes"
	"encoding/json"
)

// usageMarker occurs in the one chunk of an answer that has the token counts.
var usageMarker = []byte(`"prompt_tokens"`)

// tokenUsage holds a request's prompt tokens as the engine counted them.
type tokenUsage struct {
	Prompt  int `json:"prompt_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// read updates the counts from a chunk that has them. Other chunks are not decoded.
func (u *tokenUsage) read(data []byte) {
	if !bytes.Contains(data, usageMarker) {
		return
	}
	var chunk struct {
		Usage tokenUsage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) == nil && chunk.Usage.Prompt > 0 {
		*u = chunk.Usage
	}
}
