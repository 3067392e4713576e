package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
	"peridotusher.example/peridotusher/slowstart"
)

// limitCold limits requests to cold replicas. rank is this router's position in the order of the
// routers; only rank 0 has a share.
func (b *fixture) limitCold(rank int) {
	b.proxy.SlowStart = &slowstart.Limiter{
		Bound: func(string) float64 { return 2 },
		Share: func(uint64) (int, int, bool) { return rank, 2, true },
	}
}

// setCold has the replicas report how long they are cold.
func (b *fixture) setCold(d time.Duration, ids string) {
	b.t.Helper()
	var entries []replicas.Entry
	for _, r := range b.proxy.Table.Ready("s") {
		if strings.Contains(ids, r.ID()) {
			entries = append(entries, replicas.Entry{ID: r.ID(), Service: "s", Address: r.Address(), Zone: r.Zone(), Slots: 4, Revision: 2, ColdRemaining: d, ReportsCold: true})
		}
	}
	b.proxy.Table.Merge(entries)
}

// sentTo returns how many requests a replica received.
func (b *fixture) sentTo(id string) int {
	n := 0
	for _, r := range b.requests() {
		if r.replica == id {
			n++
		}
	}
	return n
}

// TestColdRefusalRetryAfter has all replicas be cold: a request without a share is refused at
// once, and one that is retried after the stated time is served.
func TestColdRefusalRetryAfter(t *testing.T) {
	const soon = 400 * time.Millisecond
	tests := []struct {
		name               string
		rank               int
		cold               time.Duration
		first              int
		minAfter, maxAfter time.Duration
	}{
		{"until the share is free", 0, time.Minute, http.StatusOK, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"until the replica is warm", 1, soon, http.StatusServiceUnavailable, soon / 4, soon},
		{"until a warm replica accepts requests", 1, time.Minute, http.StatusServiceUnavailable, soon / 4, soon},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, nonIdempotent, respond(okAnswer, true), respond(okAnswer, true))
			b.limitCold(tt.rank)
			b.setCold(tt.cold, "a")
			warm := b.proxy.Table.Ready("s")[1]
			if strings.Contains(tt.name, "warm replica") {
				warm.Backoff(b.proxy.Clock.Now(), soon)
			} else {
				b.proxy.Table.MarkLeaving(warm)
			}
			if resp, _, _ := b.send(get("")); resp == nil || resp.StatusCode != tt.first {
				t.Fatalf("first answer = %v, want %d", resp, tt.first)
			}
			before := len(b.requests())
			resp, body, _ := b.send(get(""))
			if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || body != "cold\n" || len(b.requests()) != before {
				t.Fatalf("answer without a share = %v, %q", resp, body)
			}
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			after := time.Duration(retryAfter * float64(time.Second))
			if err != nil || after < tt.minAfter || after > tt.maxAfter {
				t.Fatalf("Retry-After is %v (%v), want %v to %v", after, err, tt.minAfter, tt.maxAfter)
			}
			time.Sleep(after)
			if resp, _, _ := b.send(get("")); resp == nil || resp.StatusCode != http.StatusOK {
				t.Errorf("answer after Retry-After = %v", resp)
			}
		})
	}
}

// TestColdBoundReadOncePerRequest guards against a cost for services whose replicas are never
// cold: whether a service has a bound is checked once per request.
func TestColdBoundReadOncePerRequest(t *testing.T) {
	b := newFixture(t, idempotent, respond(okAnswer, true), respond(okAnswer, true))
	var reads atomic.Int32
	b.proxy.SlowStart = &slowstart.Limiter{Bound: func(string) float64 {
		reads.Add(1)
		return 0
	}}
	b.setCold(time.Minute, "ab")
	if resp, _, _ := b.send(get("")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v", resp)
	}
	if n := reads.Load(); n != 1 {
		t.Errorf("the bound was looked up %d times, want 1", n)
	}
}

// TestWarmReplicasNeedNoShare has a router without any share: a warm replica gets all requests,
// also next to a cold one, and so do the replicas of a service without a limit.
func TestWarmReplicasNeedNoShare(t *testing.T) {
	const requests = 30
	for name, set := range map[string]func(b *fixture){
		"all are warm":       func(b *fixture) { b.limitCold(1) },
		"one is cold":        func(b *fixture) { b.limitCold(1); b.setCold(time.Minute, "a") },
		"nothing is limited": func(b *fixture) { b.setCold(time.Minute, "ab") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, nonIdempotent, respond(okAnswer, true), respond(okAnswer, true))
			set(b)
			c := b.dial()
			br := bufio.NewReader(c)
			for range requests {
				if resp, _, _ := b.sendOn(c, br, get("")); resp == nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("answer = %v", resp)
				}
			}
			if cold := b.sentTo("a"); (cold == 0) != (name == "one is cold") {
				t.Errorf("%d of %d requests reached the replica a", cold, requests)
			}
		})
	}
}

// TestRepeatsNeedAShare has the first replica fail while the other one is cold: the request is
// not retried there without a share, and an answer of the first one is forwarded.
func TestRepeatsNeedAShare(t *testing.T) {
	const failed = "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfail"
	const broken = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 99\r\n\r\nid: 1\n\n"
	tests := []struct {
		name  string
		route routing.Route
		first script
		rank  int
		sent  int // to the cold replica
	}{
		{"error, no share", idempotent, respond(failed, true), 1, 0},
		{"error, a share that another request may take", idempotent, respond(failed, true), 0, 0},
		{"reset, no share", idempotent, reset(""), 1, 0},
		{"unreachable, no share", idempotent, nil, 1, 0},
		{"broken stream, no share", resumable, reset(broken), 1, 0},
		{"broken stream, a share", resumable, reset(broken), 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.first, respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 7\r\n\r\nid: 2\n\n", true))
			b.limitCold(tt.rank)
			b.setCold(time.Minute, "b")
			resp, body, _ := b.send(b.unique(get("")))
			if tt.first != nil && b.sentTo("a") != 1 {
				t.Fatalf("the first replica got %d requests", b.sentTo("a"))
			}
			if got := b.sentTo("b"); got != tt.sent {
				t.Errorf("the cold replica got %d requests, want %d; all requests, those of this test with the id %s: %+v", got, tt.sent, b.id, b.requests())
			}
			if strings.HasPrefix(tt.name, "error,") && (resp == nil || body != "fail") {
				t.Errorf("answer = %v, %q, want that of the first replica", resp, body)
			}
			if tt.first == nil && (resp == nil || resp.StatusCode != http.StatusServiceUnavailable || body != "cold\n") {
				t.Errorf("answer = %v, %q, want a refusal", resp, body)
			}
		})
	}
}

// TestReplicaNotAbandonedForColdOne guards against abandoning a working replica for a cold one:
// another request may take the share meanwhile, and then there is no answer at all.
func TestReplicaNotAbandonedForColdOne(t *testing.T) {
	const late = 700 * time.Millisecond
	slowHead := func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(late)
		return respond(okAnswer, true)(c, r, body)
	}
	slowStream := func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(late)
		return resumeAfter(c, r, body)
	}
	for name, tt := range map[string]struct {
		route routing.Route
		first script
	}{"head": {idempotent, slowHead}, "stream": {resumable, slowStream}} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.first, resumeAfter)
			b.limitCold(0)
			b.setCold(time.Minute, "b")
			if resp, _, complete := b.send(get("")); resp == nil || resp.StatusCode != http.StatusOK || !complete {
				t.Errorf("answer = %v, complete = %v", resp, complete)
			}
			if n := b.sentTo("b"); n != 0 {
				t.Errorf("the cold replica got %d requests", n)
			}
		})
	}
}

// TestAbandonOnlyForWarmReplica checks the decisions that depend on whether the other replica is
// cold, also after the retry budget was charged.
func TestAbandonOnlyForWarmReplica(t *testing.T) {
	for _, cold := range []time.Duration{0, time.Minute} {
		b := newFixture(t, resumable, resumeAfter, resumeAfter)
		b.limitCold(0)
		b.setCold(cold, "b")
		now := time.Now()
		tk := &task{proxy: b.proxy, route: &resumable, serviceName: "s", cold: coldState{limited: true}, retryPrecharged: true, tried: map[string]bool{"a": true}, deadline: now.Add(time.Minute)}
		got := []bool{tk.shouldAbandonReplica(), tk.headTimeout() > 0, tk.stallTimeout() > 0, tk.willRetry()}
		if diff := cmp.Diff([]bool{cold == 0, cold == 0, cold == 0, cold == 0}, got); diff != "" {
			t.Errorf("cold for %v (-want +got):\n%s", cold, diff)
		}
	}
}

// TestRetryAfterWithFreeShare guards against a Retry-After that is the backoff of another
// replica, though the share of a cold one is free, which other requests took several times.
func TestRetryAfterWithFreeShare(t *testing.T) {
	b := newFixture(t, idempotent, resumeAfter, resumeAfter)
	b.limitCold(0)
	b.setCold(time.Minute, "ab")
	now := b.proxy.Clock.Now()
	b.proxy.Table.Ready("s")[1].Backoff(now, 5*time.Second)
	tk := &task{proxy: b.proxy, serviceName: "s", cold: coldState{limited: true, shareRefusals: maxUnsentAttempts}}
	if got := tk.sendableOrBlock(now, replicas.Accepting(now, tk.remainingCandidates())); len(got) != 0 || !tk.cold.blocked || tk.cold.wait != retryAfterFailed {
		t.Errorf("%d replicas, cold = %v, wait %v, want a refusal for %v", len(got), tk.cold.blocked, tk.cold.wait, retryAfterFailed)
	}
}

// TestUnreachableNotReportedAsCold guards against a refusal because of cold replicas if none can
// be connected to.
func TestUnreachableNotReportedAsCold(t *testing.T) {
	b := newFixture(t, idempotent, nil, nil)
	b.limitCold(1)
	b.proxy.Table.SetColdDuration(func(string) time.Duration { return time.Minute })
	for _, r := range b.proxy.Table.Ready("s") {
		b.proxy.Table.MarkUnreachable(r)
	}
	resp, body, _ := b.send(get(""))
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || body != "no_replica\n" {
		t.Fatalf("answer = %v, %q", resp, body)
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after > 1 {
		t.Errorf("Retry-After is %v s, %v", after, err)
	}
}

// TestShareIsTakenOnce has many requests find the same share free: one is sent, the others are
// refused.
func TestShareIsTakenOnce(t *testing.T) {
	const requests = 12
	b := newFixture(t, idempotent, respond(okAnswer, true))
	b.limitCold(0)
	b.setCold(time.Minute, "a")
	var served, refused atomic.Int32
	var group errgroup.Group
	for range requests {
		group.Go(func() error {
			switch resp, body, _ := b.send(get("")); {
			case resp == nil:
			case resp.StatusCode == http.StatusOK:
				served.Add(1)
			case resp.StatusCode == http.StatusServiceUnavailable && body == "cold\n":
				refused.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if served.Load() != 1 || refused.Load() != requests-1 || len(b.requests()) != 1 {
		t.Errorf("%d served and %d refused with %d sent, want 1, %d, 1", served.Load(), refused.Load(), len(b.requests()), requests-1)
	}
}

// TestReplicaRestartedSinceChosen guards against sending to a replica based on what was known
// before it restarted or its entry changed.
func TestReplicaRestartedSinceChosen(t *testing.T) {
	same := func(*replicas.Entry) {}
	tests := []struct {
		name   string
		rank   int
		change func(e *replicas.Entry)
		want   bool
	}{
		{"cold, no share", 1, same, false},
		{"cold, a share", 0, same, true},
		{"restarted, a share", 0, func(e *replicas.Entry) { e.StartedAt = 9 }, false},
		{"restarted and is warm", 0, func(e *replicas.Entry) { e.StartedAt, e.ColdRemaining = 9, 0 }, false},
		{"size changed, no share", 1, func(e *replicas.Entry) { e.Slots++ }, false},
		{"size changed, a share", 0, func(e *replicas.Entry) { e.Slots++ }, true},
		{"removed", 1, func(e *replicas.Entry) { e.Removed = true }, true},
	}
	for _, tt := range tests {
		b := newFixture(t, nonIdempotent, respond(okAnswer, true))
		b.limitCold(tt.rank)
		chosen := b.proxy.Table.Ready("s")[0]
		e := replicas.Entry{ID: chosen.ID(), Service: "s", Address: chosen.Address(), Zone: chosen.Zone(), Slots: 4, Revision: 2, ColdRemaining: time.Minute, ReportsCold: true}
		tt.change(&e)
		b.proxy.Table.Merge([]replicas.Entry{e})
		if _, got := (&task{proxy: b.proxy, cold: coldState{limited: true}}).takeShare(chosen); got != tt.want {
			t.Errorf("%s: sent = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestColdTimeOnlyFromReplica guards against cold times that another process at the address made
// up.
func TestColdTimeOnlyFromReplica(t *testing.T) {
	tests := []struct {
		name  string
		reply Reply
		want  bool
	}{
		{"signed", Reply{Signed: true}, true},
		{"not run", Reply{NotRun: true}, true},
		{"neither", Reply{}, false},
		{"of another replica", Reply{Signed: true, Misdirected: true}, false},
	}
	for _, tt := range tests {
		b := newFixture(t, nonIdempotent, resumeAfter)
		r := b.proxy.Table.Ready("s")[0]
		tt.reply.ColdRemaining, tt.reply.ReportsCold = time.Minute, true
		(&task{proxy: b.proxy}).applyReply(&exchange{replica: r, reply: tt.reply})
		if got := r.ColdRemaining(b.proxy.Clock.Now()) > 0; got != tt.want {
			t.Errorf("%s: cold = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestReconnectedReplicaIsCold has a connection to an unreachable replica succeed: the replica
// counts as cold, since it may have restarted.
func TestReconnectedReplicaIsCold(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
	b.proxy.Table.SetColdDuration(func(string) time.Duration { return time.Minute })
	r := b.proxy.Table.Ready("s")[0]
	b.proxy.Table.MarkUnreachable(r)
	b.proxy.probe(context.Background(), r)
	if r.Unreachable() || r.ColdRemaining(b.proxy.Clock.Now()) < time.Minute/2 {
		t.Errorf("unreachable = %v, cold for %v", r.Unreachable(), r.ColdRemaining(b.proxy.Clock.Now()))
	}
}
