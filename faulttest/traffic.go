package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/callers"
)

// The traffic of an episode.
const (
	chats        = 24
	savers       = 3
	chatTokens   = 30
	labelTokens  = 8
	chatTurns    = 6
	chatPause    = 150 * time.Millisecond
	savePause    = 60 * time.Millisecond
	chatDeadline = 8 * time.Second
	// maxAnswerTime is the time within which a request must be answered, even if it fails.
	maxAnswerTime = chatDeadline + 4*time.Second
	// streamResumes is the number of reconnections of a broken stream.
	streamResumes = 3
	// saveAttempts is the number of times that one save is sent.
	saveAttempts = 3
)

// save is one non-idempotent call with all its attempts.
type save struct {
	key     string
	results []callers.Result
}

// traffic sends requests and collects the callers' results.
type traffic struct {
	balancer *callers.Balancer
	seed     uint64

	ctx       context.Context
	group     errgroup.Group
	stopSurge context.CancelFunc // ends the surge

	mu     sync.Mutex
	models []callers.Result
	saves  []save
	reads  []callers.Result
}

func newTraffic(b *callers.Balancer, seed uint64) *traffic {
	return &traffic{balancer: b, seed: seed}
}

// run sends requests until sending ends and waits for the last answers.
func (t *traffic) run(ctx, sending context.Context) error {
	t.ctx = ctx
	for n := range chats {
		t.group.Go(func() error { t.chat(ctx, sending, n); return nil })
	}
	for n := range savers {
		t.group.Go(func() error { t.save(ctx, sending, n); return nil })
	}
	<-sending.Done()
	t.endSurge()
	return t.group.Wait()
}

// surge makes n callers of one organisation send requests without pauses until endSurge.
func (t *traffic) surge(n int) {
	ctx, cancel := context.WithCancel(t.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopSurge = cancel
	for i := range n {
		t.group.Go(func() error {
			c := t.caller("shop-athina", uint64(1000+i))
			for turn := 0; ctx.Err() == nil; turn++ {
				t.addModel(t.complete(t.ctx, c, callers.Completion{Class: "chat", Chat: fmt.Sprintf("surge-%d-%d", i, turn), Messages: opening(i, turn), Tokens: chatTokens, Stream: true, Resumes: streamResumes}))
			}
			return nil
		})
	}
}

func (t *traffic) endSurge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopSurge != nil {
		t.stopSurge()
		t.stopSurge = nil
	}
}

// chat sends the turns of successive multi-turn chats.
func (t *traffic) chat(ctx, sending context.Context, n int) {
	c := t.caller(organisations[n%len(organisations)], uint64(n))
	var messages []callers.Message
	for turn := 0; sending.Err() == nil; turn++ {
		if turn%chatTurns == 0 {
			messages = nil
		}
		messages = append(messages, opening(n, turn)...)
		q := callers.Completion{Class: "chat", Chat: fmt.Sprintf("chat-%d-%d", n, turn/chatTurns), Messages: messages, Tokens: chatTokens, Stream: n%2 == 0, Resumes: streamResumes}
		if n%4 == 3 {
			q = callers.Completion{Class: "label", Messages: opening(n, turn), Tokens: labelTokens}
		}
		r := t.complete(ctx, c, q)
		t.addModel(r)
		messages = append(messages, callers.Message{Role: "assistant", Content: r.Text})
		c.Pause(sending, chatPause)
	}
}

func (t *traffic) complete(ctx context.Context, c *callers.Caller, q callers.Completion) callers.Result {
	ctx, cancel := context.WithTimeout(ctx, maxAnswerTime)
	defer cancel()
	return c.Complete(ctx, q)
}

// save sends calls that may run at most once, and retries failed calls with the same
// idempotency key.
func (t *traffic) save(ctx, sending context.Context, n int) {
	c := t.caller(organisations[n], uint64(100+n))
	for i := 0; sending.Err() == nil; i++ {
		path := fmt.Sprintf("/services/profiles/profiles/%d-%d", n, i)
		body := fmt.Sprintf(`{"chest":%d}`, i)
		s := save{key: fmt.Sprintf("save-%d-%d-%d", t.seed, n, i)}
		call := callers.Call{Method: http.MethodPost, Path: path, Body: body, Key: s.key, Want: body}
		for range saveAttempts {
			s.results = append(s.results, t.call(ctx, c, call))
			if s.results[len(s.results)-1].Whole {
				break
			}
			c.Pause(sending, savePause)
		}
		t.addSave(s)
		if s.results[len(s.results)-1].Whole {
			t.addRead(t.call(ctx, c, callers.Call{Method: http.MethodGet, Path: path, Want: body}))
		}
		c.Pause(sending, savePause)
	}
}

func (t *traffic) call(ctx context.Context, c *callers.Caller, call callers.Call) callers.Result {
	ctx, cancel := context.WithTimeout(ctx, maxAnswerTime)
	defer cancel()
	return c.Call(ctx, call)
}

// organisations are organisations of the sample configuration.
var organisations = []string{"shop-athina", "shop-pireas", "shop-elefsina", "shop-marousi"}

func (t *traffic) caller(organisation string, n uint64) *callers.Caller {
	return &callers.Caller{
		Balancer: t.balancer,
		Key:      "kalimera-" + organisation + "-example-key",
		Model:    "stylist",
		Rand:     rand.New(rand.NewPCG(t.seed, n)),
	}
}

func opening(n, turn int) []callers.Message {
	return []callers.Message{{Role: "user", Content: fmt.Sprintf("caller %d turn %d: does size %d fit?", n, turn, 36+turn%12)}}
}

func (t *traffic) addModel(r callers.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models = append(t.models, r)
}

func (t *traffic) addSave(s save) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saves = append(t.saves, s)
}

func (t *traffic) addRead(r callers.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads = append(t.reads, r)
}
