package answertest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// deadlyMessage is the text of a message that crashes engines.
const deadlyMessage = "wears 38 and 39"

// messagesOf returns a chat with a system message, perhaps the deadly message, and a last message.
func messagesOf(deadly bool, last int) []byte {
	middle := ""
	if deadly {
		middle = fmt.Sprintf(`{"role":"user","content":%q},`, deadlyMessage)
	}
	return fmt.Appendf(nil, `[{"role":"system","content":"answer briefly"},%s{"role":"user","content":"fit %d?"}]`, middle, last)
}

// TestMessageThatCrashesEngines guards against chats that crash one engine after the other. Sound chats
// share their system message.
func TestMessageThatCrashesEngines(t *testing.T) {
	const engines, chats, maxCrashes, maxLater = 12, 16, 5, 3
	bed := start(t, testbed.Options{
		Zones: []string{"a"}, RoutersPerZone: 1, EnginesPerZone: engines, Document: streamDocument(),
		ConfigureEngine: func(e *standin.Engine) { e.CrashOn = deadlyMessage },
	})
	client := newHTTPClient()
	receive := func(deadly bool, n int) *StreamedAnswer {
		s := &StreamedAnswer{}
		c := chat{messages: messagesOf(deadly, n), tokens: 4}
		if err := c.receive(context.Background(), client, bed.Routers[0].URL, s); err != nil {
			t.Logf("chat %d: %v", n, err)
		}
		return s
	}
	served, failures := 0, make(map[string]int)
	for n := range chats {
		s := receive(true, n)
		if s.Done {
			t.Errorf("chat %d, which crashes its engine, ended as complete: %q", n, s.Text.String())
		}
		failures[s.Failure+" "+s.Verdict]++
		if receive(false, n).Done {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	crashes := 0
	for _, e := range bed.Engines {
		if e.IsCrashed() {
			crashes++
		}
	}
	t.Logf("%d engines crashed, %d of %d sound chats were served, chats that crash engines ended %v", crashes, served, chats, failures)
	if crashes > maxCrashes+maxLater {
		t.Errorf("%d engines crashed, want at most %d", crashes, maxCrashes+maxLater)
	}
	if served < chats*3/4 {
		t.Errorf("%d of %d sound chats were served, want at least three quarters", served, chats)
	}
	// The first chat was refused after it had crashed engines, the others before they were sent.
	if diff := cmp.Diff(map[string]int{"quarantined may-have-run": 1, "quarantined not-run": chats - 1}, failures); diff != "" {
		t.Errorf("ends of chats that crash engines (-want +got):\n%s", diff)
	}
}
