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
	bed         *testbed.Bed
	seed        uint64
	rate        float64 // requests per second of the fleet
	results     *results
	surgeActive func() bool // whether the surge is active; nil without a surge
	http        *http.Client
	cache       *oracle
}

// meanTurn returns the mean time of a chat's turn including the pause after it.
func meanTurn() time.Duration {
	const answerTime = time.Second
	return answerTime + time.Duration((1-longShare)*float64(shortPause)+longShare*float64(longPause))
}

// run sends requests until ctx ends.
func (t *traffic) run(ctx context.Context) {
	var group errgroup.Group
	chats := int((1 - labelShare - reportShare) * t.rate * meanTurn().Seconds())
	for n := range chats {
		group.Go(func() error { t.runChats(ctx, n); return nil })
	}
	group.Go(func() error { t.sendAtRate(ctx, chats, t.rate*labelShare, t.sendLabel); return nil })
	group.Go(func() error { t.sendAtRate(ctx, chats+1, t.rate*reportShare, t.sendReport); return nil })
	if t.surgeActive != nil {
		group.Go(func() error { t.sendSurge(ctx, chats+2); return nil })
	}
	// The callers report no errors.
	_ = group.Wait()
}

// runChats runs one chat after another until ctx ends.
func (t *traffic) runChats(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(t.seed, uint64(n)))
	org := zipf(r, len(organisations))
	if !pause.For(ctx, time.Duration(r.Int64N(int64(meanTurn())))) {
		return
	}
	for k := 0; ctx.Err() == nil; k++ {
		t.runChat(ctx, r, org, fmt.Sprintf("chat-%d-%d", n, k))
	}
}

// runChat sends the turns of one chat with pauses between them.
func (t *traffic) runChat(ctx context.Context, r *rand.Rand, org int, name string) {
	c := t.client(r)
	messages := openingMessages(name)
	for turn := range turnsPerChat {
		messages = append(messages, turnMessage(name, turn))
		q := query{Class: classChat, Organisation: org, Chat: name, Messages: messages, Tokens: answerTokens(r)}
		answer := c.sendAndRecord(ctx, q)
		if answer.complete {
			messages = append(messages, message{Role: "assistant", Content: answer.text})
		}
		if !pause.For(ctx, turnPause(r)) {
			return
		}
	}
}

// sendAtRate sends requests at a mean rate, with exponentially distributed intervals, without
// waiting for their answers.
func (t *traffic) sendAtRate(ctx context.Context, n int, rate float64, send func(context.Context, *rand.Rand, int)) {
	r := rand.New(rand.NewPCG(t.seed, uint64(n)))
	var group errgroup.Group
	for k := 0; pause.For(ctx, time.Duration(r.ExpFloat64()/rate*float64(time.Second))); k++ {
		own := rand.New(rand.NewPCG(t.seed+uint64(n), uint64(k)))
		group.Go(func() error { send(ctx, own, k); return nil })
	}
	_ = group.Wait()
}

func (t *traffic) sendLabel(ctx context.Context, r *rand.Rand, n int) {
	messages := []message{{Role: "user", Content: promptText(fmt.Sprintf("label %d", n), turnTokens)}}
	t.client(r).sendAndRecord(ctx, query{Class: classLabel, Organisation: zipf(r, len(organisations)), Messages: messages, Tokens: labelTokens})
}

func (t *traffic) sendReport(ctx context.Context, r *rand.Rand, n int) {
	messages := []message{{Role: "user", Content: promptText(fmt.Sprintf("report %d on the whole catalogue", n), openingTokens)}}
	t.client(r).sendAndRecord(ctx, query{Class: classReport, Organisation: zipf(r, reportOrganisations), Messages: messages, Tokens: reportTokens})
}

// sendSurge sends additional new chats of one organisation while the surge is active, so
// that its rate grows by surgeFactor.
func (t *traffic) sendSurge(ctx context.Context, n int) {
	rate := (surgeFactor - 1) * zipfShare(surgingOrganisation) * t.rate
	t.sendAtRate(ctx, n, rate, func(ctx context.Context, r *rand.Rand, k int) {
		if !t.surgeActive() {
			return
		}
		name := fmt.Sprintf("surge-%d", k)
		messages := append(openingMessages(name), turnMessage(name, 0))
		t.client(r).sendAndRecord(ctx, query{Class: classChat, Organisation: surgingOrganisation, Surge: true, Chat: name, Messages: messages, Tokens: answerTokens(r)})
	})
}

func (t *traffic) client(r *rand.Rand) *client {
	return &client{http: t.http, bed: t.bed, rand: r, results: t.results, cache: t.cache}
}
