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

// streamTimeout is the longest wait of a caller for one streamed answer.
const streamTimeout = 25 * time.Second

// callerIdle is the silence after which a caller drops its connection.
const callerIdle = 3 * time.Second

// errIdle ends a connection that was silent for callerIdle.
var errIdle = errors.New("connection to the router was silent")

// Streamed is what a caller received of one streamed answer.
type Streamed struct {
	Request string // the id of the request that the engine answers
	LastID  string
	Text    strings.Builder
	Done    bool // the end mark arrived
	Failure string
	Verdict string
	Reply   Reply // the answer in place of a stream
}

// chat is one request to a model.
type chat struct {
	messages []byte
	tokens   int
}

// newChat returns a request whose messages no other one has.
func newChat(name string, tokens int) chat {
	return chat{messages: fmt.Appendf(nil, `[{"role":"user","content":"fit of %s"}]`, name), tokens: tokens}
}

// body returns the request's JSON.
func (c chat) body(stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"stylist","messages":%s,"max_tokens":%d,"stream":%v}`, c.messages, c.tokens, stream)
}

// answer returns the text that belongs to the request.
func (c chat) answer(request string) (string, error) {
	return standin.EngineAnswer(request, c.messages, c.tokens)
}

// open sends the request, or goes on after what s holds.
func (c chat) open(ctx context.Context, client *http.Client, router string, s *Streamed) (*http.Response, error) {
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
// the connection broke and the caller may go on elsewhere.
func (c chat) receive(ctx context.Context, client *http.Client, router string, s *Streamed) error {
	ctx, cancel := context.WithTimeoutCause(ctx, streamTimeout, errIdle)
	defer cancel()
	idle := time.AfterFunc(callerIdle, cancel)
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
		s.fail(body)
		return nil
	}
	if s.Request == "" {
		s.Request = resp.Header.Get("X-Request-Id")
	}
	return s.read(resp.Body, func() { idle.Reset(callerIdle) })
}

// read takes the events of one connection.
func (s *Streamed) read(body io.Reader, alive func()) error {
	lines := bufio.NewScanner(body)
	id, event := "", ""
	for lines.Scan() {
		alive()
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
				s.fail([]byte(value))
				return nil
			}
			if value == "[DONE]" {
				s.Done = true
				return nil
			}
			if err := s.add(id, value); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// add takes one chunk.
func (s *Streamed) add(id, data string) error {
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

// fail takes an explicit error.
func (s *Streamed) fail(body []byte) {
	var failed errorAnswer
	if err := json.Unmarshal(body, &failed); err != nil || failed.Error.Code == "" {
		s.Failure = "unreadable: " + string(body)
		return
	}
	s.Failure = failed.Error.Code
	s.Verdict = failed.Error.Verdict
}
