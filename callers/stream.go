package callers

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxLineBytes = 1 << 20
	doneMarker   = "[DONE]"
	errorEvent   = "error"
)

// errTruncated means that a stream ended before its [DONE] event.
var errTruncated = errors.New("the stream ended without its [DONE] event")

// chunk is a chat-completions answer or one chunk of it.
type chunk struct {
	Choices []struct {
		Delta   Message `json:"delta"`
		Message Message `json:"message"`
	} `json:"choices"`
}

// stream collects a streamed answer over one or more connections.
type stream struct {
	result *Result
	text   strings.Builder
	lastID string
	ended  bool
	event  string // type of the event being read
	id     string // id of the event being read
}

// read reads events until the [DONE] event, an error event or the end of the body.
func (s *stream) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	s.event, s.id = "", ""
	for scanner.Scan() {
		if err := s.line(scanner.Text()); err != nil || s.ended {
			return err
		}
	}
	return errors.CombineErrors(scanner.Err(), errTruncated)
}

func (s *stream) line(line string) error {
	name, value, _ := strings.Cut(line, ": ")
	switch name {
	case "event":
		s.event = value
	case "id":
		s.id = value
	case "data":
		return s.data(value)
	}
	return nil
}

func (s *stream) data(data string) error {
	event := s.event
	s.event = ""
	if event == errorEvent {
		s.result.recordErrorObject([]byte(data))
		return errors.New("the stream ended in an error event")
	}
	if data == doneMarker {
		s.ended = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if s.result.FirstToken == 0 {
		s.result.FirstToken = time.Since(s.result.Started)
	}
	if len(c.Choices) > 0 {
		s.text.WriteString(c.Choices[0].Delta.Content)
	}
	if s.id != "" {
		s.lastID = s.id
	}
	return nil
}
