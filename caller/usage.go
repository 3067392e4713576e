package caller

import (
	"bytes"
	"encoding/json"
)

// usageMark is in the one chunk of an answer that counts the tokens.
var usageMark = []byte(`"prompt_tokens"`)

// tokenUsage counts a request's prompt tokens.
type tokenUsage struct {
	Prompt  int `json:"prompt_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// read takes the counts from a chunk that has them. Others are not decoded.
func (u *tokenUsage) read(data []byte) {
	if !bytes.Contains(data, usageMark) {
		return
	}
	var chunk struct {
		Usage tokenUsage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) == nil && chunk.Usage.Prompt > 0 {
		*u = chunk.Usage
	}
}
