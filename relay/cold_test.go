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

// limitCold has the front send to cold replicas as the place in the order of routers
// allows: rank 0 is the only one with a share.
func (b *bed) limitCold(rank int) {
	b.front.SlowStart = &slowstart.Limiter{
		Bound: func(string) float64 { return 2 },
		Share: func(uint64) (int, int, bool) { return rank, 2, true },
	}
}

// setCold has replicas tell how long they are cold.
func (b *bed) setCold(d time.Duration, ids string) {
	b.t.Helper()
	var entries []replicas.Entry
	for _, r := range b.front.Table.Ready("s") {
		if strings.Contains(ids, r.ID()) {
			entries = append(entries, replicas.Entry{ID: r.ID(), Service: "s", Address: r.Address(), Zone: r.Zone(), Slots: 4, Revision: 2, Cold: d, ReportsCold: true})
		}
	}
	b.front.Table.Offer(entries)
}

// sentTo returns how many requests a replica received.
func (b *bed) sentTo(id string) int {
	n := 0
	for _, r := range b.requests() {
		if r.replica == id {
			n++
		}
	}
	return n
}

// TestColdRefusalTellsTheTime has all replicas be cold: a request without a share is
// refused at once, and one that comes back at the time that it was told is served.
func TestColdRefusalTellsTheTime(t *testing.T) {
	const soon = 400 * time.Millisecond
	tests := []struct {
		name        string
		rank        int
		cold        time.Duration
		first       int
		least, most time.Duration
	}{
		{"until the share is free", 0, time.Minute, http.StatusOK, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"until the replica is warm", 1, soon, http.StatusServiceUnavailable, soon / 4, soon},
		{"until a warm replica wants requests", 1, time.Minute, http.StatusServiceUnavailable, soon / 4, soon},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, once, say(fine, true), say(fine, true))
			b.limitCold(tt.rank)
			b.setCold(tt.cold, "a")
			warm := b.front.Table.Ready("s")[1]
			if strings.Contains(tt.name, "warm replica") {
				warm.Backoff(b.front.Clock.Now(), soon)
			} else {
				b.front.Table.MarkLeaving(warm)
			}
			if resp, _, _ := b.ask(get("")); resp == nil || resp.StatusCode != tt.first {
				t.Fatalf("first answer = %v, want %d", resp, tt.first)
			}
			before := len(b.requests())
			resp, body, _ := b.ask(get(""))
			if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || body != "cold\n" || len(b.requests()) != before {
				t.Fatalf("answer without a share = %v, %q", resp, body)
			}
			told, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			after := time.Duration(told * float64(time.Second))
			if err != nil || after < tt.least || after > tt.most {
				t.Fatalf("told to come back after %v (%v), want %v to %v", after, err, tt.least, tt.most)
			}
			time.Sleep(after)
			if resp, _, _ := b.ask(get("")); resp == nil || resp.StatusCode != http.StatusOK {
				t.Errorf("answer at the time that was told = %v", resp)
			}
		})
	}
}

// TestNoChecksWithoutARate guards against a cost for services whose replicas are never cold:
// whether a service has a bound is looked up once for a request.
func TestNoChecksWithoutARate(t *testing.T) {
	b := newBed(t, repeatable, say(fine, true), say(fine, true))
	var looks atomic.Int32
	b.front.SlowStart = &slowstart.Limiter{Bound: func(string) float64 {
		looks.Add(1)
		return 0
	}}
	b.setCold(time.Minute, "ab")
	if resp, _, _ := b.ask(get("")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v", resp)
	}
	if n := looks.Load(); n != 1 {
		t.Errorf("the bound was looked up %d times, want 1", n)
	}
}

// TestWarmReplicasAreUsedInFull has a router without any share: a warm replica gets all
// requests, also beside a cold one, and one of a service that is never cold too.
func TestWarmReplicasAreUsedInFull(t *testing.T) {
	const requests = 30
	for name, set := range map[string]func(b *bed){
		"all are warm":       func(b *bed) { b.limitCold(1) },
		"one is cold":        func(b *bed) { b.limitCold(1); b.setCold(time.Minute, "a") },
		"nothing is limited": func(b *bed) { b.setCold(time.Minute, "ab") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, once, say(fine, true), say(fine, true))
			set(b)
			c := b.dial()
			br := bufio.NewReader(c)
			for range requests {
				if resp, _, _ := b.askOn(c, br, get("")); resp == nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("answer = %v", resp)
				}
			}
			if cold := b.sentTo("a"); (cold == 0) != (name == "one is cold") {
				t.Errorf("%d of %d requests reached the replica a", cold, requests)
			}
		})
	}
}

// TestRepeatsNeedAShare has the first replica fail and the other one be cold: the request
// is not sent there without a share, and an answer of the first one is passed on.
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
		{"error, no share", repeatable, say(failed, true), 1, 0},
		{"error, a share that another request may take", repeatable, say(failed, true), 0, 0},
		{"reset, no share", repeatable, reset(""), 1, 0},
		{"unreachable, no share", repeatable, nil, 1, 0},
		{"broken stream, no share", resumable, reset(broken), 1, 0},
		{"broken stream, a share", resumable, reset(broken), 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, tt.route, tt.first, say("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 7\r\n\r\nid: 2\n\n", true))
			b.limitCold(tt.rank)
			b.setCold(time.Minute, "b")
			resp, body, _ := b.ask(b.unique(get("")))
			if tt.first != nil && b.sentTo("a") != 1 {
				t.Fatalf("the first replica got %d requests", b.sentTo("a"))
			}
			if got := b.sentTo("b"); got != tt.sent {
				t.Errorf("the cold replica got %d requests, want %d; all, of which those of this test have the id %s: %+v", got, tt.sent, b.id, b.requests())
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

// TestWorkIsNotGivenUpForACold guards against a replica at work that is given up for a cold
// one: another request may take the share meanwhile, and then there is no answer at all.
func TestWorkIsNotGivenUpForACold(t *testing.T) {
	const late = 700 * time.Millisecond
	slowHead := func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(late)
		return say(fine, true)(c, r, body)
	}
	slowStream := func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(late)
		return from(c, r, body)
	}
	for name, tt := range map[string]struct {
		route routing.Route
		first script
	}{"head": {repeatable, slowHead}, "stream": {resumable, slowStream}} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, tt.route, tt.first, from)
			b.limitCold(0)
			b.setCold(time.Minute, "b")
			if resp, _, whole := b.ask(get("")); resp == nil || resp.StatusCode != http.StatusOK || !whole {
				t.Errorf("answer = %v, whole = %v", resp, whole)
			}
			if n := b.sentTo("b"); n != 0 {
				t.Errorf("the cold replica got %d requests", n)
			}
		})
	}
}

// TestGivenUpForWarmOnly checks what time limits depend on as the other replica becomes
// cold, also after the retry budget was charged.
func TestGivenUpForWarmOnly(t *testing.T) {
	for _, cold := range []time.Duration{0, time.Minute} {
		b := newBed(t, resumable, from, from)
		b.limitCold(0)
		b.setCold(cold, "b")
		now := time.Now()
		tk := &task{front: b.front, route: &resumable, serviceName: "s", cold: coldState{limited: true}, prepaid: true, tried: map[string]bool{"a": true}, until: now.Add(time.Minute)}
		got := []bool{tk.giveUpReplica(), tk.firstWait() > 0, tk.stallLimit() > 0, tk.mayRepeat()}
		if diff := cmp.Diff([]bool{cold == 0, cold == 0, cold == 0, cold == 0}, got); diff != "" {
			t.Errorf("cold for %v (-want +got):\n%s", cold, diff)
		}
	}
}

// TestFreeShareIsAShortWait guards against a client that is told the time of another replica
// though the share of one is free, which other requests have taken some times.
func TestFreeShareIsAShortWait(t *testing.T) {
	b := newBed(t, repeatable, from, from)
	b.limitCold(0)
	b.setCold(time.Minute, "ab")
	now := b.front.Clock.Now()
	b.front.Table.Ready("s")[1].Backoff(now, 5*time.Second)
	tk := &task{front: b.front, serviceName: "s", cold: coldState{limited: true, refusals: unsentTries}}
	if got := tk.withShare(now, replicas.Accepting(now, tk.untried())); len(got) != 0 || !tk.cold.blocked || tk.cold.wait != retryFailed {
		t.Errorf("%d replicas, cold = %v, wait %v, want a refusal for %v", len(got), tk.cold.blocked, tk.cold.wait, retryFailed)
	}
}

// TestUnreachableIsNotCold guards against a refusal that names cold replicas, and their
// time, if none can be connected to.
func TestUnreachableIsNotCold(t *testing.T) {
	b := newBed(t, repeatable, nil, nil)
	b.limitCold(1)
	b.front.Table.SetColdFor(func(string) time.Duration { return time.Minute })
	for _, r := range b.front.Table.Ready("s") {
		b.front.Table.MarkUnreachable(r)
	}
	resp, body, _ := b.ask(get(""))
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || body != "no_replica\n" {
		t.Fatalf("answer = %v, %q", resp, body)
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after > 1 {
		t.Errorf("told to come back after %v s, %v", after, err)
	}
}

// TestShareIsTakenOnce has many requests see the same share as free: one is sent, whoever
// comes too late is refused.
func TestShareIsTakenOnce(t *testing.T) {
	const requests = 12
	b := newBed(t, repeatable, say(fine, true))
	b.limitCold(0)
	b.setCold(time.Minute, "a")
	var served, refused atomic.Int32
	var group errgroup.Group
	for range requests {
		group.Go(func() error {
			switch resp, body, _ := b.ask(get("")); {
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

// TestStartedAgainSinceChosen guards against requests that are sent to a replica by what was
// known of an earlier start, or before its entry changed.
func TestStartedAgainSinceChosen(t *testing.T) {
	same := func(*replicas.Entry) {}
	tests := []struct {
		name   string
		rank   int
		change func(e *replicas.Entry)
		want   bool
	}{
		{"cold, no share", 1, same, false},
		{"cold, a share", 0, same, true},
		{"started again, a share", 0, func(e *replicas.Entry) { e.StartedAt = 9 }, false},
		{"started again and is warm", 0, func(e *replicas.Entry) { e.StartedAt, e.Cold = 9, 0 }, false},
		{"another size, no share", 1, func(e *replicas.Entry) { e.Slots++ }, false},
		{"another size, a share", 0, func(e *replicas.Entry) { e.Slots++ }, true},
		{"gone", 1, func(e *replicas.Entry) { e.Gone = true }, true},
	}
	for _, tt := range tests {
		b := newBed(t, once, say(fine, true))
		b.limitCold(tt.rank)
		chosen := b.front.Table.Ready("s")[0]
		e := replicas.Entry{ID: chosen.ID(), Service: "s", Address: chosen.Address(), Zone: chosen.Zone(), Slots: 4, Revision: 2, Cold: time.Minute, ReportsCold: true}
		tt.change(&e)
		b.front.Table.Offer([]replicas.Entry{e})
		if _, got := (&task{front: b.front, cold: coldState{limited: true}}).takeShare(chosen); got != tt.want {
			t.Errorf("%s: sent = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestColdAnswers guards against cold times that whatever listens at the address made up.
func TestColdAnswers(t *testing.T) {
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
		b := newBed(t, once, from)
		r := b.front.Table.Ready("s")[0]
		tt.reply.Cold, tt.reply.ReportsCold = time.Minute, true
		(&task{front: b.front}).applyReply(&exchange{replica: r, reply: tt.reply})
		if got := r.ColdFor(b.front.Clock.Now()) > 0; got != tt.want {
			t.Errorf("%s: cold = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestRegainedReplicaIsCold has a connection to an unreachable replica succeed: it may
// have started again.
func TestRegainedReplicaIsCold(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	b.front.Table.SetColdFor(func(string) time.Duration { return time.Minute })
	r := b.front.Table.Ready("s")[0]
	b.front.Table.MarkUnreachable(r)
	b.front.probe(context.Background(), r)
	if r.Unreachable() || r.ColdFor(b.front.Clock.Now()) < time.Minute/2 {
		t.Errorf("unreachable = %v, cold for %v", r.Unreachable(), r.ColdFor(b.front.Clock.Now()))
	}
}
