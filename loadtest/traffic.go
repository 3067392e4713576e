package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/testbed"
)

// traffic sends the requests of all callers.
type traffic struct {
	bed     *testbed.Bed
	seed    uint64
	rate    float64 // requests a second of the whole fleet
	results *results
	surge   func() bool // whether the surge is on
	http    *http.Client
	cache   *oracle
}

// meanTurn is the mean time of a chat's turn and the pause after it.
func meanTurn() time.Duration {
	const answerTime = time.Second
	return answerTime + time.Duration((1-longShare)*float64(shortPause)+longShare*float64(longPause))
}

// run sends requests until ctx ends.
func (t *traffic) run(ctx context.Context) {
	var group errgroup.Group
	chats := int((1 - labelShare - reportShare) * t.rate * meanTurn().Seconds())
	for n := range chats {
		group.Go(func() error { t.chats(ctx, n); return nil })
	}
	group.Go(func() error { t.stream(ctx, chats, t.rate*labelShare, t.label); return nil })
	group.Go(func() error { t.stream(ctx, chats+1, t.rate*reportShare, t.report); return nil })
	if t.surge != nil {
		group.Go(func() error { t.surges(ctx, chats+2); return nil })
	}
	// The callers report no errors.
	_ = group.Wait()
}

// chats holds one chat after the other until ctx ends.
func (t *traffic) chats(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(t.seed, uint64(n)))
	org := zipf(r, len(organisations))
	if !pause.For(ctx, time.Duration(r.Int64N(int64(meanTurn())))) {
		return
	}
	for k := 0; ctx.Err() == nil; k++ {
		t.chat(ctx, r, org, fmt.Sprintf("chat-%d-%d", n, k))
	}
}

// chat sends the turns of one chat with pauses between them.
func (t *traffic) chat(ctx context.Context, r *rand.Rand, org int, name string) {
	c := t.client(r)
	messages := opening(name)
	for turn := range turnsPerChat {
		messages = append(messages, turnText(name, turn))
		q := query{Class: classChat, Organisation: org, Chat: name, Messages: messages, Tokens: answerTokens(r)}
		answer := c.ask(ctx, q)
		if answer.whole {
			messages = append(messages, message{Role: "assistant", Content: answer.text})
		}
		if !pause.For(ctx, turnPause(r)) {
			return
		}
	}
}

// stream sends requests at a mean rate without waiting for their answers.
func (t *traffic) stream(ctx context.Context, n int, rate float64, send func(context.Context, *rand.Rand, int)) {
	r := rand.New(rand.NewPCG(t.seed, uint64(n)))
	var group errgroup.Group
	for k := 0; pause.For(ctx, time.Duration(r.ExpFloat64()/rate*float64(time.Second))); k++ {
		own := rand.New(rand.NewPCG(t.seed+uint64(n), uint64(k)))
		group.Go(func() error { send(ctx, own, k); return nil })
	}
	_ = group.Wait()
}

func (t *traffic) label(ctx context.Context, r *rand.Rand, n int) {
	messages := []message{{Role: "user", Content: text(fmt.Sprintf("label %d", n), turnTokens)}}
	t.client(r).ask(ctx, query{Class: classLabel, Organisation: zipf(r, len(organisations)), Messages: messages, Tokens: labelTokens})
}

func (t *traffic) report(ctx context.Context, r *rand.Rand, n int) {
	messages := []message{{Role: "user", Content: text(fmt.Sprintf("report %d on the whole catalogue", n), openingTokens)}}
	t.client(r).ask(ctx, query{Class: classReport, Organisation: zipf(r, reporters), Messages: messages, Tokens: reportTokens})
}

// surges sends new chats of one organisation, at a multiple of its usual rate,
// while the surge is on.
func (t *traffic) surges(ctx context.Context, n int) {
	rate := (surgeFactor - 1) * zipfShare(surging) * t.rate
	t.stream(ctx, n, rate, func(ctx context.Context, r *rand.Rand, k int) {
		if !t.surge() {
			return
		}
		name := fmt.Sprintf("surge-%d", k)
		messages := append(opening(name), turnText(name, 0))
		t.client(r).ask(ctx, query{Class: classChat, Organisation: surging, Surge: true, Chat: name, Messages: messages, Tokens: answerTokens(r)})
	})
}

func (t *traffic) client(r *rand.Rand) *client {
	return &client{http: t.http, bed: t.bed, rand: r, results: t.results, cache: t.cache}
}
