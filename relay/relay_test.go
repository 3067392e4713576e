package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/routing"
)

const fine = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello"

var (
	once       = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1, Timeout: 2 * time.Second, Objective: time.Second}
	repeatable = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second}
	resumable  = routing.Route{Kind: routing.Streaming, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, Resumable: true, Cached: true}
	patient    = routing.Route{Kind: routing.Streaming, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Minute, Cached: true}
	stream     = routing.Route{Kind: routing.Streaming, MaxAttempts: 1, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, Cached: true}
)

// TestAnswers has replicas that answer oddly; the first one listed is asked first.
func TestAnswers(t *testing.T) {
	const notRun = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	const failed = "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfail"
	const other = "HTTP/1.1 200 OK\r\nId: 99\r\nSignature: z\r\nContent-Length: 5\r\n\r\nOTHER"
	tests := []struct {
		name    string
		route   routing.Route
		scripts []script
		status  int
		body    string
		sent    int // requests that reach replicas
	}{
		{"fine", once, []script{say(fine, true)}, 200, "hello", 1},
		{"unreachable, then fine", once, []script{nil, say(fine, true)}, 200, "hello", 1},
		{"reset without answer, once", once, []script{reset(""), say(fine, true)}, 502, "", 1},
		{"reset without answer, repeatable", repeatable, []script{reset(""), say(fine, true)}, 200, "hello", 2},
		{"not run, one attempt", once, []script{say(notRun, true), say(fine, true)}, 503, "", 1},
		{"not run, two attempts", repeatable, []script{say(notRun, true), say(fine, true)}, 200, "hello", 2},
		{"misdirected", once, []script{say("HTTP/1.1 421 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n", true), say(fine, true)}, 200, "hello", 2},
		{"error, once", once, []script{say(failed, true), say(fine, true)}, 500, "fail", 1},
		{"error, repeatable", repeatable, []script{say(failed, true), say(fine, true)}, 200, "hello", 2},
		{"error twice", repeatable, []script{say(failed, true), say(failed, true)}, 500, "fail", 2},
		{"answer to another request in front", once, []script{say(other+fine, true)}, 200, "hello", 1},
		{"only an answer to another request", once, []script{say(other, false), say(fine, true)}, 502, "", 1},
		{"no answer at all but bytes", once, []script{say("garbage\r\n\r\n", false)}, 502, "", 1},
		{"unsigned success", once, []script{say("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nno", true)}, 502, "", 1},
		{"without length, closed", once, []script{say("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\nhello", false)}, 200, "hello", 1},
		{"without length, reset", once, []script{reset("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\nhel")}, 502, "", 1},
		{"informational first", once, []script{say("HTTP/1.1 102 Wait\r\n\r\n"+fine, true)}, 200, "hello", 1},
		{"all busy", repeatable, []script{say(notRun, true), say(notRun, true)}, 503, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, tt.route, tt.scripts...)
			resp, body, whole := b.ask(get(""))
			if resp == nil || !whole {
				t.Fatalf("no whole answer: %v", resp)
			}
			if resp.StatusCode != tt.status {
				t.Errorf("status = %d, want %d", resp.StatusCode, tt.status)
			}
			if tt.body != "" && body != tt.body {
				t.Errorf("body = %q, want %q", body, tt.body)
			}
			if tt.body == "" && resp.Header.Get("Signature") != "" {
				t.Error("an answer of the router bears a signature")
			}
			if after := resp.Header.Get("Retry-After"); (tt.status == 503) != (after != "") {
				t.Errorf("status %d with Retry-After %q", tt.status, after)
			}
			if n := len(b.requests()); n != tt.sent {
				t.Errorf("%d requests reached replicas, want %d", n, tt.sent)
			}
		})
	}
}

// TestCutAtEachByte cuts an answer after each of its bytes: it must never reach
// the client as a whole success unless it is whole.
func TestCutAtEachByte(t *testing.T) {
	text := strings.ReplaceAll(fine, "ID", "1")
	cut := 0
	b := newBed(t, once, func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text[:cut])
		return err == nil && false
	})
	for cut = range len(text) + 1 {
		resp, body, whole := b.ask(get(""))
		success := resp != nil && whole && resp.StatusCode == http.StatusOK
		if want := cut == len(text); success != want || success && body != "hello" {
			t.Fatalf("cut after %d of %d bytes: success = %v, body %q", cut, len(text), success, body)
		}
	}
}

// TestSecondAnswer has a replica that sends one answer too many on a kept
// connection.
func TestSecondAnswer(t *testing.T) {
	b := newBed(t, repeatable, say(fine+fine, true))
	for i := range 3 {
		raw := strings.Replace(get(""), "Id: 1", fmt.Sprintf("Id: %d", i), 1)
		resp, body, whole := b.ask(raw)
		if resp == nil || !whole || resp.Header.Get("Id") != fmt.Sprint(i) || body != "hello" {
			t.Fatalf("request %d: %v %q %v", i, resp, body, whole)
		}
	}
}

func TestForwardedUnchanged(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	raw := "POST /p/a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: h.example\r\nId: 7\r\nKey: k\r\nOrganisation: forged\r\n" +
		"Replica: forged\r\nConnection: Id, X-Gone\r\nX-Gone: 1\r\nX-Kept: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	if resp, _, _ := b.ask(raw); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v", resp)
	}
	r := b.requests()[0]
	if diff := cmp.Diff([]string{"/p/a%2Fb/../c?x=%20&y", "abcde"}, []string{r.target, r.body}); diff != "" {
		t.Errorf("target and body (-want +got):\n%s", diff)
	}
	want := map[string]string{"Id": "7", "Key": "", "Organisation": "shop", "Replica": "a", "X-Gone": "", "X-Kept": "2", "Accept-Encoding": ""}
	for name, value := range want {
		if got := r.header.Get(name); got != value {
			t.Errorf("header %s = %q, want %q", name, got, value)
		}
	}
}

func TestDenied(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	tests := []struct {
		name, raw string
		status    int
	}{
		{"no route", strings.Replace(get(""), "/p/", "/q/", 1), 404},
		{"no key", strings.Replace(get(""), "Key: k\r\n", "", 1), 401},
		{"wrong key", strings.Replace(get(""), "Key: k", "Key: kk", 1), 401},
		{"long header", get("X-Long: " + strings.Repeat("x", 3000) + "\r\n"), 431},
		{"long body", post("Content-Length: 100001\r\n", ""), 413},
		{"long chunked body", post("Transfer-Encoding: chunked\r\n", "20000\r\n"+strings.Repeat("x", 0x20000)+"\r\n0\r\n\r\n"), 413},
		{"slow body", strings.Replace(post("Content-Length: 10\r\n", "abc"), "Patience: 2s", "Patience: 100ms", 1), 408},
	}
	for _, tt := range tests {
		resp, _, _ := b.ask(tt.raw)
		if resp == nil || resp.StatusCode != tt.status {
			t.Errorf("%s: answer = %v, want status %d", tt.name, resp, tt.status)
			continue
		}
		back, comesBack := resp.Header.Get("Retry-After"), tt.status == http.StatusRequestTimeout
		if (back != "") != comesBack {
			t.Errorf("%s: told to come back after %q, want a time: %v", tt.name, back, comesBack)
		}
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d denied requests reached the replica", n)
	}
}

// TestNotReplayed has a replica that closes kept connections on the next
// request: a GET of a route whose requests may run once must not go out again.
func TestNotReplayed(t *testing.T) {
	served := 0
	b := newBed(t, once, func(c net.Conn, r *http.Request, body string) bool {
		served++
		return served == 1 && say(fine, true)(c, r, body)
	})
	if resp, _, _ := b.ask(get("")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first answer = %v", resp)
	}
	resp, _, _ := b.ask(get(""))
	if resp == nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("second answer = %v, want 502", resp)
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("%d requests reached the replica, want 2", n)
	}
}

// TestEarlyAnswer has a replica that answers before it has read a long body.
func TestEarlyAnswer(t *testing.T) {
	b := newBed(t, once)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	b.front.Table.Offer(entryAt("early", l.Addr().String()))
	rest := make(chan string, 1)
	b.group.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return err
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(fine, "ID", r.Header.Get("Id"))); err != nil {
			return err
		}
		data, _ := io.ReadAll(r.Body) // the router may close before the end
		rest <- string(data)
		return nil
	})
	body := strings.Repeat("b", 90000)
	resp, _, whole := b.ask(post(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body))
	if resp == nil || !whole || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v, whole %v", resp, whole)
	}
	if got := <-rest; strings.Trim(got, "b") != "" {
		t.Errorf("the replica read other bytes than the body: %q", strings.Trim(got, "b"))
	}
}

// TestClientLeaves checks that the replica's connection closes with the client's.
func TestClientLeaves(t *testing.T) {
	closed := make(chan time.Time, 1)
	reached := make(chan struct{})
	b := newBed(t, once, func(c net.Conn, _ *http.Request, _ string) bool {
		close(reached)
		_, _ = c.Read(make([]byte, 1)) // ends when the router closes
		closed <- time.Now()
		return false
	})
	c, err := net.Dial("tcp", b.url)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, get("")); err != nil {
		t.Fatal(err)
	}
	<-reached
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	<-closed
}

// TestConnectionLimit opens more connections than are allowed: those beyond are
// closed, and a place is free again when one ends.
func TestConnectionLimit(t *testing.T) {
	b := newBed(t, once, say(fine, true))
	var open []net.Conn
	for range b.front.Connections {
		c, err := net.Dial("tcp", b.url)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		open = append(open, c)
	}
	// The last one is answered, so all of them were accepted.
	if resp, _, _ := b.askOn(open[len(open)-1], bufio.NewReader(open[len(open)-1]), get("")); resp == nil {
		t.Fatal("a connection within the limit got no answer")
	}
	if resp, _, _ := b.ask(get("")); resp != nil {
		t.Errorf("a connection beyond the limit was answered %d", resp.StatusCode)
	}
	if err := open[0].Close(); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		if resp, _, _ := b.ask(get("")); resp != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no place became free")
}

// TestReuseIsAnnounced has answers of a replica and of the router itself tell how
// long their connection may be used again, until the router stops.
func TestReuseIsAnnounced(t *testing.T) {
	answer := say("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok", true)
	type told struct{ Connection, KeepAlive string }
	for name, raw := range map[string]string{"answered": get(""), "denied": strings.Replace(get(""), "/", "/nowhere/", 1)} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, repeatable, answer, answer)
			b.front.Reuse = 2500 * time.Millisecond
			for _, want := range []told{{"keep-alive", "timeout=2"}, {"close", ""}} {
				resp, _, _ := b.ask(raw)
				if resp == nil {
					t.Fatal("no answer")
				}
				connection := resp.Header.Get("Connection")
				if resp.Close {
					connection = "close" // the reader takes the header out
				}
				if diff := cmp.Diff(want, told{connection, resp.Header.Get("Keep-Alive")}); diff != "" {
					t.Errorf("connection (-want +got):\n%s", diff)
				}
				b.front.Stop(Ending{AllUntil: b.front.Clock.Now().Add(time.Minute)})
			}
		})
	}
}

// TestStopEndsConnections has a router stop while a stream runs and another
// connection is idle: the stream's connection ends with its answer, the idle one
// serves a last request.
func TestStopEndsConnections(t *testing.T) {
	running, goOn := make(chan struct{}), make(chan struct{})
	slow := func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\no") // checked at the client
		close(running)
		<-goOn
		_, _ = io.WriteString(c, "k")
		return false
	}
	b := newBed(t, patient, slow)
	b.front.Reuse = 2 * time.Second
	idle := b.dial()
	if resp, _, _ := b.askOn(idle, bufio.NewReader(idle), strings.Replace(get(""), "/", "/nowhere/", 1)); resp == nil || resp.Close {
		t.Fatalf("the idle connection was not kept: %v", resp)
	}
	b.awaitIdle(1)
	busy := b.dial()
	b.group.Go(func() error {
		<-running
		b.front.Stop(Ending{AllUntil: b.front.Clock.Now().Add(time.Minute)})
		close(goOn)
		return nil
	})
	reader := bufio.NewReader(busy)
	if _, body, whole := b.askOn(busy, reader, get("")); !whole || body != "ok" {
		t.Fatalf("the answer in flight is %q, whole %v", body, whole)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("after the answer in flight: %v, want the connection's end", err)
	}
	if resp, _, _ := b.askOn(idle, bufio.NewReader(idle), strings.Replace(get(""), "/", "/nowhere/", 1)); resp == nil || !resp.Close {
		t.Errorf("the idle connection's last answer is %v", resp)
	}
}

// TestLateRequestsOfAStop has requests come to a router that stops but is still sent
// connections: what ends before the stop does is run, anything else is told at once to
// come back, and has not run.
func TestLateRequestsOfAStop(t *testing.T) {
	tests := []struct {
		name   string
		all    time.Duration // from now on, when the router ceases to take all
		by     time.Duration // from now on, when it has to have ended
		status int
	}{
		{"not late", time.Minute, 0, http.StatusOK},
		{"late and short", -time.Second, time.Minute, http.StatusOK},
		{"late and long", -time.Second, repeatable.Timeout / 2, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, repeatable, say(fine, true))
			now := b.front.Clock.Now()
			b.front.Stop(Ending{AllUntil: now.Add(tt.all), By: now.Add(tt.by)})
			resp, _, whole := b.ask(get(""))
			if resp == nil || !whole || resp.StatusCode != tt.status || !resp.Close {
				t.Fatalf("answer %v, want status %d and the connection's end", resp, tt.status)
			}
			refused := tt.status != http.StatusOK
			if after := resp.Header.Get("Retry-After"); (after != "") != refused {
				t.Errorf("Retry-After %q", after)
			}
			if sent := len(b.requests()); (sent == 0) != refused {
				t.Errorf("%d requests reached the replica", sent)
			}
		})
	}
}
