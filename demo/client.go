package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/standin"
)

// client is one caller. It chooses a router that is ready, as a balancer does.
type client struct {
	routers []*router
	key     string
	rand    *rand.Rand
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is one request to the model.
type completion struct {
	Class    string    `json:"-"`
	Model    string    `json:"model"`
	Chat     string    `json:"prompt_cache_key,omitempty"`
	Messages []message `json:"messages"`
	Tokens   int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
}

// result is what a caller got.
type result struct {
	kind    string
	request string
	whole   bool
	crossed bool
	verdict peridotusher.Verdict
	text    string
	detail  string
}

// complete sends the request and checks the answer's text.
func (c *client) complete(ctx context.Context, q completion) result {
	q.Model = "stylist"
	r := result{kind: q.Class}
	body, err := json.Marshal(q)
	if err != nil {
		return r.failed(err.Error())
	}
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", body, map[string]string{"X-Class": q.Class})
	if err != nil {
		return r.failed(err.Error())
	}
	defer resp.Body.Close()
	r.request = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		return r.refused(resp)
	}
	text, err := readAnswer(resp.Body, q.Stream)
	if err != nil {
		return r.failed(err.Error())
	}
	return r.checked(q, text)
}

// call sends one request to the plain service and checks the answer's body.
func (c *client) call(ctx context.Context, method, path, body, key, want string) result {
	r := result{kind: "call"}
	headers := map[string]string{}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	resp, err := c.send(ctx, method, path, []byte(body), headers)
	if err != nil {
		return r.failed(err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.refused(resp)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return r.failed(err.Error())
	}
	r.text = string(got)
	r.crossed = r.text != want
	r.whole = !r.crossed
	r.verdict = peridotusher.Ran
	return r
}

func (c *client) send(ctx context.Context, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	router, err := c.choose(ctx)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, router.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

// choose returns a random router that is ready.
func (c *client) choose(ctx context.Context) (*router, error) {
	for _, n := range c.rand.Perm(len(c.routers)) {
		if c.routers[n].ready(ctx) {
			return c.routers[n], nil
		}
	}
	return nil, errors.New("no router is ready")
}

// pause waits around d, and returns false when ctx ends first.
func (c *client) pause(ctx context.Context, d time.Duration) bool {
	jittered := d/2 + time.Duration(c.rand.Int64N(int64(d)))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(jittered):
		return true
	}
}

func (r result) failed(detail string) result {
	r.verdict = peridotusher.MayHaveRun
	r.detail = detail
	return r
}

func (r result) refused(resp *http.Response) result {
	r.verdict = peridotusher.ParseVerdict(resp.Header.Get("X-Verdict"))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		body = []byte(err.Error())
	}
	r.detail = strings.TrimSpace(string(body))
	return r
}

// checked compares the text with the one that the stand-in gives to this request.
func (r result) checked(q completion, text string) result {
	messages, err := json.Marshal(q.Messages)
	if err != nil {
		return r.failed(err.Error())
	}
	want, err := standin.EngineAnswer(r.request, messages, q.Tokens)
	if err != nil {
		return r.failed(err.Error())
	}
	r.text = text
	r.verdict = peridotusher.Ran
	r.whole = text == want
	r.crossed = !r.whole && !strings.HasPrefix(want, text)
	if !r.whole {
		r.detail = "the answer is not the request's own"
	}
	return r
}

type answerChunk struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

// readAnswer returns the text of a whole or streamed answer.
func readAnswer(body io.Reader, streamed bool) (string, error) {
	if streamed {
		return readEvents(body)
	}
	var c answerChunk
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return "", err
	}
	if len(c.Choices) == 0 {
		return "", errors.New("answer without choices")
	}
	return c.Choices[0].Message.Content, nil
}

func readEvents(body io.Reader) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c answerChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", err
		}
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return "", errors.CombineErrors(scanner.Err(), errors.New("the stream ended without its end mark"))
}
