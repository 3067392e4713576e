package hosts

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errNoArray means that a list is not a complete JSON array.
var errNoArray = errors.New("the list is no complete JSON array")

// splitArray returns the elements of a JSON array without decoding them. Unlike a decoder it
// accepts elements that are nested too deeply or otherwise malformed, as long as their strings
// and brackets are complete.
func splitArray(data []byte) ([]json.RawMessage, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' {
		return nil, errNoArray
	}
	var out []json.RawMessage
	depth, start := 0, 1
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 1 {
				out = appendElement(out, data[start:i])
				start = i + 1
			}
		}
		if depth == 0 {
			if i != len(data)-1 {
				return nil, errNoArray
			}
			return appendElement(out, data[start:i]), nil
		}
	}
	return nil, errNoArray
}

// stringEnd returns the position of the quote that ends the string that begins at start, or the
// length of data if it does not end.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// appendElement appends an element without the space around it, unless it is empty.
func appendElement(out []json.RawMessage, element []byte) []json.RawMessage {
	if element = bytes.TrimSpace(element); len(element) > 0 {
		out = append(out, element)
	}
	return out
}
