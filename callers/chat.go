package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/standin"
)

const completionsPath = "/v1/chat/completions"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is one request to the model.
type Completion struct {
	Class    string    `json:"-"`
	Resumes  int       `json:"-"` // reconnections allowed when a stream breaks
	Model    string    `json:"model"`
	Chat     string    `json:"prompt_cache_key,omitempty"`
	Messages []Message `json:"messages"`
	Tokens   int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
}

// Complete sends the request and compares the answer with the one that a
// stand-in engine generates for it.
func (c *Caller) Complete(ctx context.Context, q Completion) Result {
	q.Model = c.Model
	return c.retryNotRun(ctx, q.Class, func(r *Result) { c.completeOnce(ctx, r, q) })
}

func (c *Caller) completeOnce(ctx context.Context, r *Result, q Completion) {
	body, err := json.Marshal(q)
	if err != nil {
		r.fail(err)
		return
	}
	if !q.Stream {
		c.completeUnstreamed(ctx, r, q, body)
		return
	}
	c.completeStream(ctx, r, q, body)
}

func (c *Caller) completeUnstreamed(ctx context.Context, r *Result, q Completion, body []byte) {
	resp, err := c.send(ctx, r, http.MethodPost, completionsPath, body, map[string]string{"X-Class": q.Class})
	if err != nil {
		r.fail(err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.recordErrorResponse(resp)
		return
	}
	var answer chunk
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		r.fail(err)
		return
	}
	if len(answer.Choices) == 0 {
		r.fail(errors.New("answer without choices"))
		return
	}
	r.FirstToken = time.Since(r.Started)
	r.check(q, answer.Choices[0].Message.Content)
}

// completeStream reads the stream, and reconnects from the last event when it breaks.
func (c *Caller) completeStream(ctx context.Context, r *Result, q Completion, body []byte) {
	s := &stream{result: r}
	for {
		c.readStream(ctx, s, q, body)
		if s.ended || s.lastID == "" || r.Resumes >= q.Resumes || ctx.Err() != nil {
			break
		}
		r.Resumes++
	}
	if s.ended {
		r.check(q, s.text.String())
		return
	}
	r.Text = s.text.String()
	r.Crossed = !r.isOwnPrefix(q, r.Text)
}

// readStream sends the request, or resumes it after the last event received,
// and reads until the stream or the connection ends.
func (c *Caller) readStream(ctx context.Context, s *stream, q Completion, body []byte) {
	headers := map[string]string{"X-Class": q.Class}
	if s.lastID != "" {
		headers["Last-Event-ID"] = s.lastID
	}
	resp, err := c.send(ctx, s.result, http.MethodPost, completionsPath, body, headers)
	if err != nil {
		s.result.fail(err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.result.recordErrorResponse(resp)
		return
	}
	if err := s.read(resp.Body); err != nil && !s.result.Told {
		s.result.fail(err)
	}
	// Draining the body lets the client reuse the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
}

// check compares the text with the complete expected answer.
func (r *Result) check(q Completion, text string) {
	want, err := expectedAnswer(r.Request, q)
	if err != nil {
		r.fail(err)
		return
	}
	r.compare(text, want)
}

// isOwnPrefix returns whether the text is a prefix of the answer expected for the request.
func (r *Result) isOwnPrefix(q Completion, text string) bool {
	want, err := expectedAnswer(r.Request, q)
	return err == nil && strings.HasPrefix(want, text)
}

// expectedAnswer returns the answer that a stand-in engine generates for the request.
func expectedAnswer(request string, q Completion) (string, error) {
	messages, err := json.Marshal(q.Messages)
	if err != nil {
		return "", err
	}
	return standin.EngineAnswer(request, messages, q.Tokens)
}
