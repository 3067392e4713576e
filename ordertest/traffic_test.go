package ordertest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

const (
	trafficChats  = 16
	answerTokens  = 8
	trafficPause  = 20 * time.Millisecond
	answerTimeout = 25 * time.Second
)

// traffic is a number of concurrent chats, each of which sends one request at a time.
type traffic struct {
	fleet  *fleet
	cancel context.CancelFunc
	group  *errgroup.Group

	mu       sync.Mutex
	routers  []*testbed.Router
	requests map[string]bool // ids of requests with a complete answer
	refused  int             // requests refused because no engine had a free slot
	problems []string
}

// startTraffic starts a number of chats that send requests through every router.
func startTraffic(f *fleet, chats int) *traffic {
	f.t.Helper()
	for _, r := range f.Routers {
		f.wait("an answer of "+r.Name, func() bool { return sendMessage(r, "first", "first").problem == "" })
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{fleet: f, cancel: cancel, group: &errgroup.Group{}, routers: f.Routers, requests: map[string]bool{}}
	for n := range chats {
		t.group.Go(func() error {
			for turn := 0; ctx.Err() == nil; turn++ {
				t.send(n, turn)
				time.Sleep(trafficPause)
			}
			return nil
		})
	}
	f.t.Cleanup(t.stop)
	return t
}

// restrictToZone sends further requests through the routers of one zone only.
func (t *traffic) restrictToZone(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers = nil
	for _, r := range t.fleet.Routers {
		if r.Zone == zone {
			t.routers = append(t.routers, r)
		}
	}
}

// stop ends the traffic and waits for the requests in flight.
func (t *traffic) stop() {
	t.cancel()
	// The chats return no errors.
	_ = t.group.Wait()
}

func (t *traffic) answered() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

// check reports every request without a complete answer, except refused ones, and every
// answer that more than one version contributed to.
func (t *traffic) check() {
	t.fleet.t.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.problems {
		t.fleet.t.Error(p)
	}
	t.fleet.t.Logf("%d requests answered completely, %d refused because no engine had a free slot", len(t.requests), t.refused)
	if len(t.requests) == 0 {
		t.fleet.t.Error("no request was answered")
	}
	for id, versions := range t.versions() {
		if len(versions) != 1 {
			t.fleet.t.Errorf("request %s ran on the versions %v", id, versions)
		}
	}
}

// versions returns the versions that each answered request ran on.
func (t *traffic) versions() map[string]map[string]bool {
	ran := map[string]map[string]bool{}
	for _, e := range t.fleet.Engines {
		for id, version := range e.Stats().Versions {
			if t.requests[id] {
				if ran[id] == nil {
					ran[id] = map[string]bool{}
				}
				ran[id][version] = true
			}
		}
	}
	return ran
}

// ran returns the number of answered requests that ran on the version.
func (t *traffic) ran(version string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, versions := range t.versions() {
		if versions[version] {
			n++
		}
	}
	return n
}

// send sends one request, checks its answer and records the result.
func (t *traffic) send(chat, turn int) {
	t.mu.Lock()
	router := t.routers[(chat+turn)%len(t.routers)]
	t.mu.Unlock()
	got := sendMessage(router, fmt.Sprintf("chat-%d", chat), fmt.Sprintf("chat %d turn %d", chat, turn))
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case got.rejected:
		t.refused++
	case got.problem != "":
		t.problems = append(t.problems, got.problem)
	default:
		t.requests[got.id] = true
	}
}

// result is the outcome of one request.
type result struct {
	id       string
	rejected bool   // refused without running, because no engine had a free slot
	problem  string // empty if the answer was complete and the expected one
	prompt   int    // tokens
	cached   int    // prompt tokens found in a cache
}

// sendMessage sends a chat of one message.
func sendMessage(router *testbed.Router, chat, content string) result {
	return sendChat(router, chat, []map[string]string{{"role": "user", "content": content}})
}

// sendChat sends a chat's messages and checks the answer.
func sendChat(router *testbed.Router, chat string, messages []map[string]string) result {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{"model": "stylist", "prompt_cache_key": chat, "messages": messages, "max_tokens": answerTokens})
	if err != nil {
		return result{problem: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return result{problem: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{problem: err.Error()}
	}
	defer resp.Body.Close()
	id := resp.Header.Get("X-Request-Id")
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		rejected := resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("X-Verdict") == peridotusher.NotRun.String()
		return result{id: id, rejected: rejected, problem: fmt.Sprintf("%v: %s of %s at %s: status %d %s %v", time.Now().Format(time.TimeOnly), id, chat, router.Name, resp.StatusCode, text, err)}
	}
	prompt, cached := usage(text)
	return result{id: id, problem: compare(id, messages, text), prompt: prompt, cached: cached}
}

// usage returns the number of prompt tokens that an answer reports, and how many of
// them were found in a cache.
func usage(text []byte) (prompt, cached int) {
	var answer struct {
		Usage struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	// compare reports an answer that cannot be decoded.
	_ = json.Unmarshal(text, &answer)
	return answer.Usage.Prompt, answer.Usage.Details.Cached
}

// compare describes how an answer differs from the expected one, and is empty if it
// doesn't.
func compare(id string, messages any, text []byte) string {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || len(answer.Choices) != 1 {
		return fmt.Sprintf("%s: no answer: %s", id, text)
	}
	sent, err := json.Marshal(messages)
	if err != nil {
		return err.Error()
	}
	want, err := standin.EngineAnswer(id, sent, answerTokens)
	if err != nil {
		return err.Error()
	}
	if got := answer.Choices[0].Message.Content; got != want {
		return fmt.Sprintf("%s: answer %q, want %q", id, got, want)
	}
	return ""
}

// countLoaded counts the occurrences of the version in a result of loadedVersions.
func (f *fleet) countLoaded(loaded, version string) int { return strings.Count(loaded, version) }

// logged returns whether a router has logged the text.
func (f *fleet) logged(text string) bool {
	for _, r := range f.Routers {
		log, err := os.ReadFile(r.LogPath())
		if err == nil && strings.Contains(string(log), text) {
			return true
		}
	}
	return false
}
