package answertest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/standin"
)

// streamTimeout limits how long a caller reads one streamed answer.
const streamTimeout = 25 * time.Second

// idleTimeout is the time without data after which a caller closes its connection.
const idleTimeout = 3 * time.Second

// errIdle is the cause of a stream's timeout.
var errIdle = errors.New("connection to the router was silent")

// StreamedAnswer is the part of one streamed answer that the caller has received.
type StreamedAnswer struct {
	Request string // the id of the request that the engine answers
	LastID  string
	Text    strings.Builder
	Done    bool // [DONE] was received
	Failure string
	Verdict string
	Reply   Reply // answer that is not a stream
}

// chat is one request to a model.
type chat struct {
	messages []byte
	tokens   int
}

// newChat returns a request with messages that are unique to the name.
func newChat(name string, tokens int) chat {
	return chat{messages: fmt.Appendf(nil, `[{"role":"user","content":"fit of %s"}]`, name), tokens: tokens}
}

// body returns the request's JSON.
func (c chat) body(stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"stylist","messages":%s,"max_tokens":%d,"stream":%v}`, c.messages, c.tokens, stream)
}

// answer returns the expected text of the answer to the request.
func (c chat) answer(request string) (string, error) {
	return standin.EngineAnswer(request, c.messages, c.tokens)
}

// open sends the request, or resumes it after the last event in s.
func (c chat) open(ctx context.Context, client *http.Client, router string, s *StreamedAnswer) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/chat/completions", bytes.NewReader(c.body(true)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if s.LastID != "" {
		req.Header.Set("Last-Event-ID", s.LastID)
	}
	return client.Do(req)
}

// receive reads the stream from one router until it ends. An error means that
// the connection broke and the caller may resume at another router.
func (c chat) receive(ctx context.Context, client *http.Client, router string, s *StreamedAnswer) error {
	ctx, cancel := context.WithTimeoutCause(ctx, streamTimeout, errIdle)
	defer cancel()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	resp, err := c.open(ctx, client, router, s)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		s.recordError(body)
		return nil
	}
	if s.Request == "" {
		s.Request = resp.Header.Get("X-Request-Id")
	}
	return s.read(resp.Body, func() { idle.Reset(idleTimeout) })
}

// read adds the events of one connection, and calls onLine at each line.
func (s *StreamedAnswer) read(body io.Reader, onLine func()) error {
	lines := bufio.NewScanner(body)
	id, event := "", ""
	for lines.Scan() {
		onLine()
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "":
			id, event = "", ""
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			if event == "error" {
				s.recordError([]byte(value))
				return nil
			}
			if value == "[DONE]" {
				s.Done = true
				return nil
			}
			if err := s.addChunk(id, value); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// addChunk appends the text of one chunk and records its event id.
func (s *StreamedAnswer) addChunk(id, data string) error {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	for _, choice := range chunk.Choices {
		s.Text.WriteString(choice.Delta.Content)
	}
	s.LastID = id
	return nil
}

// recordError records the code and verdict of an error object.
func (s *StreamedAnswer) recordError(body []byte) {
	var failed errorAnswer
	if err := json.Unmarshal(body, &failed); err != nil || failed.Error.Code == "" {
		s.Failure = "unreadable: " + string(body)
		return
	}
	s.Failure = failed.Error.Code
	s.Verdict = failed.Error.Verdict
}
