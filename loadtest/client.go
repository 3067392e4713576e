package loadtest

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

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// maxEventBytes limits the size of one line of a streamed answer.
const maxEventBytes = 1 << 20

// client is one caller. Each of its requests goes to a random running router, as with
// the platform's load balancer.
type client struct {
	http    *http.Client
	bed     *testbed.Bed
	rand    *rand.Rand
	results *results
	cache   *oracle
}

// sendAndRecord sends the request, checks the answer and records the result.
func (c *client) sendAndRecord(ctx context.Context, q query) result {
	q.Model = model
	q.Stream = true
	r := result{query: q, started: time.Now()}
	c.send(ctx, &r)
	r.duration = time.Since(r.started)
	if q.Chat != "" && r.prompt > 0 {
		r.reusable = c.cache.reusable(q.Chat, r.prompt)
		c.cache.store(q.Chat, r.prompt+r.completion)
	}
	if ctx.Err() == nil {
		c.results.add(r)
	}
	return r
}

// send sends the request and fills in the result.
func (c *client) send(ctx context.Context, r *result) {
	body, err := json.Marshal(r.query)
	if err != nil {
		r.detail = err.Error()
		return
	}
	router := c.chooseRouter()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		r.detail = err.Error()
		return
	}
	req.Header.Set("Authorization", "Bearer kalimera-"+organisations[r.query.Organisation]+"-example-key")
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Class", r.query.Class)
	resp, err := c.http.Do(req)
	if err != nil {
		r.detail = "connection: " + err.Error()
		return
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	r.request = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		r.recordErrorResponse(resp)
		return
	}
	r.read(resp.Body)
	r.check()
}

// chooseRouter returns a random running router, or the first one if none runs.
func (c *client) chooseRouter() *testbed.Router {
	for _, n := range c.rand.Perm(len(c.bed.Routers)) {
		if c.bed.Routers[n].Running() {
			return c.bed.Routers[n]
		}
	}
	return c.bed.Routers[0]
}

// recordErrorResponse records the verdict and text of an error answer.
func (r *result) recordErrorResponse(resp *http.Response) {
	r.verdict = peridotusher.ParseVerdict(resp.Header.Get("X-Verdict"))
	r.retryAfter = resp.Header.Get("Retry-After")
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.detail = err.Error()
		return
	}
	r.detail = strings.TrimSpace(string(text))
}

// chunk is the part of an event's data that the caller reads.
type chunk struct {
	Choices []struct {
		Delta message `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// read reads the stream up to [DONE].
func (r *result) read(body io.Reader) {
	var answer strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() && !r.ended {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.ended = true
			continue
		}
		r.addEvent(data, &answer)
	}
	r.text = answer.String()
	if err := scanner.Err(); err != nil && !r.ended {
		r.detail = err.Error()
	}
}

// addEvent records one event's data and appends its text to the answer.
func (r *result) addEvent(data string, answer *strings.Builder) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		r.detail = "event: " + err.Error()
		return
	}
	if c.Error != nil {
		r.detail = c.Error.Message
		r.verdict = peridotusher.ParseVerdict(c.Error.Verdict)
	}
	if c.Usage != nil {
		r.prompt = c.Usage.Prompt
		r.completion = c.Usage.Completion
		r.cached = c.Usage.Details.Cached
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return
	}
	if r.firstToken == 0 {
		r.firstToken = time.Since(r.started)
	}
	answer.WriteString(c.Choices[0].Delta.Content)
}

// check compares the text with the expected answer to this request.
func (r *result) check() {
	messages, err := json.Marshal(r.query.Messages)
	if err != nil {
		r.detail = err.Error()
		return
	}
	want, err := standin.EngineAnswer(r.request, messages, r.query.Tokens)
	if err != nil {
		r.detail = err.Error()
		return
	}
	r.complete = r.ended && r.text == want
	r.crossed = !strings.HasPrefix(want, r.text)
	if r.complete {
		r.verdict = peridotusher.Ran
	}
}
