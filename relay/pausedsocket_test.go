package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotusher.example/peridotusher/tcp"
)

// pastAckTimeout is longer than the kernel keeps a connection with data that is not accepted.
const pastAckTimeout = tcp.UnackedTimeout + 1500*time.Millisecond

// TestReaderPausesLateInStop guards against answers that the kernel drops because their client pauses
// after a stopping router has closed its listener, while their connections are still open.
func TestReaderPausesLateInStop(t *testing.T) {
	t.Parallel()
	const size = 500_000 // fits into the socket buffers
	late := make(chan struct{})
	b, log := newSlowFixture(t, longAnswerRoute, smallBound, 0, func(c net.Conn, r *http.Request, body string) bool {
		<-late
		respond(chunkedHead+chunk(strings.Repeat("a", size)), true)(c, r, body)
		time.Sleep(pastAckTimeout)
		return respond(chunk("the end")+chunk(""), false)(c, r, body)
	})
	b.grace = 2 * pastAckTimeout
	c := b.slowClient(slowRequest{id: "1", framing: "chunked"})
	await(t, "the request in flight", func() bool { return len(b.requests()) == 1 })
	b.proxy.Stop(StopPolicy{AcceptAllUntil: time.Now()})
	b.stop()
	time.Sleep(200 * time.Millisecond)
	close(late)
	time.Sleep(pastAckTimeout)
	if got, complete := readAll(c, 0); got != size+len("the end") || !complete {
		t.Errorf("%d of %d bytes, complete %v; %v", got, size, complete, log.all())
	}
}

// TestStopAwaitsDelivery guards against answers that are lost with a router's process or its network
// namespace, because it ends before their clients have received what the kernel holds for them.
func TestStopAwaitsDelivery(t *testing.T) {
	t.Parallel()
	const size = 500_000 // fits into the socket buffers
	b, log := newSlowFixture(t, longAnswerRoute, smallBound, 0, sizedAnswer)
	b.grace = 2 * pastAckTimeout
	c := b.slowClient(slowRequest{id: "1", size: size, framing: "length"})
	await(t, "the answer in the socket buffers", func() bool { return len(b.requests()) == 1 && b.proxy.Active() == 0 })
	b.proxy.Stop(StopPolicy{AcceptAllUntil: time.Now()})
	b.stop()
	ended := make(chan error, 1)
	b.group.Go(func() error {
		ended <- b.running.Wait()
		return nil
	})
	select {
	case err := <-ended:
		t.Fatalf("the router ended before the answer was read: %v", err)
	case <-time.After(pastAckTimeout):
	}
	if got, complete := readAll(c, 0); got != size || !complete {
		t.Errorf("%d of %d bytes, complete %v; %v", got, size, complete, log.all())
	}
	select {
	case <-ended:
	case <-time.After(2 * tcp.MaxLingerInterval):
		t.Error("the router goes on after the answer was read")
	}
}

// TestReplicaPausesInBody guards against requests that fail because the kernel gives up a connection
// whose replica pauses before it has read the body.
func TestReplicaPausesInBody(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]int{"in the socket buffers": 1 << 20, "more than the socket buffers": 12 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, log := newSlowFixture(t, longAnswerRoute, smallBound, 0, sizedAnswer)
			b.proxy.Current.Load().Limits.BodyBytes = int64(size)
			b.proxy.BodyMemory = 2 * int64(size)
			raw := post(fmt.Sprintf("Pause: %v\r\nSize: 5\r\nFraming: length\r\nContent-Length: %d\r\n", pastAckTimeout, size), strings.Repeat("b", size))
			resp, _, complete := b.send(strings.Replace(raw, "Patience: 2s", "Patience: 20s", 1))
			if resp == nil || !complete || resp.StatusCode != http.StatusOK {
				t.Errorf("the answer is %v; %v", resp, log.all())
			}
		})
	}
}
