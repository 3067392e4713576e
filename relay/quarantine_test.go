package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// deadlyPart is the part of a prompt that crashes replicas.
const deadlyPart = "deadlypart"

// newCrashFixture returns a proxy with n replicas that crash when they begin to answer a request
// with the deadly part.
func newCrashFixture(t *testing.T, route routing.Route, n int) *fixture {
	var b *fixture
	scripts := make([]script, n)
	for i := range scripts {
		id := string(rune('a' + i))
		scripts[i] = func(c net.Conn, r *http.Request, body string) bool {
			if !strings.Contains(r.Header.Get("Prompt"), deadlyPart) {
				return resumeAfter(c, r, body)
			}
			defer b.crash(id)
			return respond(streamHead, false)(c, r, body)
		}
	}
	b = newFixture(t, route, scripts...)
	b.proxy.Quarantine = tableQuarantine{quarantine.NewTable(b.proxy.Clock)}
	return b
}

// tableQuarantine is the quarantine of a single router.
type tableQuarantine struct{ *quarantine.Table }

func (q tableQuarantine) RecordCrash(r *replicas.Replica, sentAt time.Time, parts []uint64) {
	q.Table.RecordCrash(r.Hash(), sentAt, parts)
}

func (q tableQuarantine) RecordBegun(parts []uint64) { q.Table.RecordBegun(parts) }

// sendPrompt sends a request with a prompt and returns the status of its answer.
func (b *fixture) sendPrompt(parts string) int {
	b.t.Helper()
	resp, _, _ := b.send(post("Prompt: "+parts+"\r\nContent-Length: 0\r\n", ""))
	if resp == nil {
		return 0
	}
	return resp.StatusCode
}

// countDeadly returns the number of requests with the deadly part that reached replicas.
func (b *fixture) countDeadly() int {
	n := 0
	for _, r := range b.requests() {
		if strings.Contains(r.header.Get("Prompt"), deadlyPart) {
			n++
		}
	}
	return n
}

// TestPartThatCrashesReplicasIsQuarantined guards against requests that crash one replica after
// the other. Sound requests share all their other parts.
func TestPartThatCrashesReplicasIsQuarantined(t *testing.T) {
	const replicaCount, maxCrashes, maxLater = 14, 5, 3
	for name, route := range map[string]routing.Route{"one attempt": streaming, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			b := newCrashFixture(t, route, replicaCount)
			for i := range replicaCount {
				b.sendPrompt(fmt.Sprintf("a bb %s own%d", deadlyPart, i))
				if status := b.sendPrompt(fmt.Sprintf("a bb sound%d", i)); status != http.StatusOK {
					t.Errorf("after %d requests that crash replicas a sound one is answered %d", i+1, status)
				}
			}
			if n := b.countDeadly(); n > maxCrashes+maxLater {
				t.Errorf("%d requests with the part reached replicas, want at most %d", n, maxCrashes+maxLater)
			}
		})
	}
}
