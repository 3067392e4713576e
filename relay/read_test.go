package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

// blockedReader is a replica whose reads of prompts block until proceed is closed. It signals
// each begin.
type blockedReader struct {
	began   chan struct{}
	proceed chan struct{}
}

func newBlockedReader() *blockedReader {
	return &blockedReader{began: make(chan struct{}, 10), proceed: make(chan struct{})}
}

func (r *blockedReader) script(c net.Conn, q *http.Request, _ string) bool {
	r.began <- struct{}{}
	if _, err := io.WriteString(c, strings.ReplaceAll(streamHead, "ID", q.Header.Get("Id"))); err != nil {
		return false
	}
	<-r.proceed
	_, err := io.WriteString(c, chunk(event(1))+chunk(""))
	return err == nil
}

// sendPrompt returns a function that sends a prompt and requires a complete answer.
func sendPrompt(t *testing.T, b *fixture, prompt string) func() error {
	return func() error {
		resp, _, complete := b.send(post("Prompt: "+prompt+"\r\nContent-Length: 0\r\n", ""))
		if resp == nil || resp.StatusCode != http.StatusOK || !complete {
			t.Errorf("answer to %q = %v, complete %v", prompt, resp, complete)
		}
		return nil
	}
}

// TestLargePartIsReadOnce sends two prompts with the same large part concurrently. The second
// reaches the replica only after the first got its first event.
func TestLargePartIsReadOnce(t *testing.T) {
	r := newBlockedReader()
	b := newFixture(t, longStream, r.script)
	var group errgroup.Group
	group.Go(sendPrompt(t, b, "large1 own1"))
	<-r.began
	group.Go(sendPrompt(t, b, "large1 own22"))
	for b.proxy.Active() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if n := len(b.requests()); n != 1 {
		t.Errorf("the replica got %d prompts while it read the first", n)
	}
	close(r.proceed)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("the replica got %d prompts, want 2", n)
	}
}

// TestOtherPartsDoNotWait sends prompts with another large part, and with a small one, while a
// large part is being read: they do not wait.
func TestOtherPartsDoNotWait(t *testing.T) {
	r := newBlockedReader()
	b := newFixture(t, longStream, r.script)
	var group errgroup.Group
	for _, prompt := range []string{"large1 own1", "large22 own1", "small own1"} {
		group.Go(sendPrompt(t, b, prompt))
		<-r.began // blocks forever if the prompt waits for another
	}
	close(r.proceed)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// TestWaitForReadIsBounded has another router report a read that never ends: the prompt is sent
// after a fraction of its objective.
func TestWaitForReadIsBounded(t *testing.T) {
	b := newFixture(t, streaming, resumeAfter)
	replica, ok := b.proxy.Table.Find(replicas.HashOf("a", 0))
	if !ok {
		t.Fatal("no replica")
	}
	key := testDialect{}.ReadCall(http.Header{"Prompt": {"large1 own1"}}).Prompt[0].ID
	b.proxy.Reads.Merge("r1", []placing.Placement{{Key: key, Replica: replica.Hash()}})
	if err := sendPrompt(t, b, "large1 own1")(); err != nil {
		t.Fatal(err)
	}
	if n := len(b.requests()); n != 1 {
		t.Errorf("the replica got %d prompts, want 1", n)
	}
}

// TestQueriedReadIsAwaited has another router, which is queried, report the replica's read until
// it has ended: the prompt is sent then.
func TestQueriedReadIsAwaited(t *testing.T) {
	b := newFixture(t, streaming, resumeAfter)
	hash := replicas.HashOf("a", 0)
	queries := 0
	b.proxy.CacheHolders = func(context.Context, uint64) []placing.CacheHolder {
		queries++
		if queries > 1 && len(b.requests()) > 0 {
			t.Error("the prompt was sent before the read had ended")
		}
		return []placing.CacheHolder{{Replica: hash, Reading: queries < 4}}
	}
	if err := sendPrompt(t, b, "large1 own1")(); err != nil {
		t.Fatal(err)
	}
	if queries != 4 {
		t.Errorf("the router was queried %d times, want 4", queries)
	}
}

// TestReadEndsWithAttempt has a replica break off before the first event: the part no longer
// counts as being read.
func TestReadEndsWithAttempt(t *testing.T) {
	b := newFixture(t, streaming, reset(streamHead))
	resp, _, complete := b.send(post("Prompt: large1 own1\r\nContent-Length: 0\r\n", ""))
	if complete && resp != nil && resp.StatusCode == http.StatusOK {
		t.Error("a broken answer looks complete")
	}
	if reads := b.proxy.Reads.Own(); len(reads) != 0 {
		t.Errorf("still being read: %v", reads)
	}
}
