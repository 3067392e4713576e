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

const okAnswer = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello"

var (
	nonIdempotent = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1, Timeout: 2 * time.Second, Objective: time.Second}
	idempotent    = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second}
	resumable     = routing.Route{Kind: routing.Streaming, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, Resumable: true, Cached: true}
	longStream    = routing.Route{Kind: routing.Streaming, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Minute, Cached: true}
	streaming     = routing.Route{Kind: routing.Streaming, MaxAttempts: 1, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, Cached: true}
)

// TestAnswers has replicas with irregular answers; the first one listed is tried first.
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
		sent    int // requests that reached replicas
	}{
		{"normal", nonIdempotent, []script{respond(okAnswer, true)}, 200, "hello", 1},
		{"unreachable, then normal", nonIdempotent, []script{nil, respond(okAnswer, true)}, 200, "hello", 1},
		{"reset without answer, not idempotent", nonIdempotent, []script{reset(""), respond(okAnswer, true)}, 502, "", 1},
		{"reset without answer, idempotent", idempotent, []script{reset(""), respond(okAnswer, true)}, 200, "hello", 2},
		{"not run, one attempt", nonIdempotent, []script{respond(notRun, true), respond(okAnswer, true)}, 503, "", 1},
		{"not run, two attempts", idempotent, []script{respond(notRun, true), respond(okAnswer, true)}, 200, "hello", 2},
		{"misdirected", nonIdempotent, []script{respond("HTTP/1.1 421 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n", true), respond(okAnswer, true)}, 200, "hello", 2},
		{"error, not idempotent", nonIdempotent, []script{respond(failed, true), respond(okAnswer, true)}, 500, "fail", 1},
		{"error, idempotent", idempotent, []script{respond(failed, true), respond(okAnswer, true)}, 200, "hello", 2},
		{"error twice", idempotent, []script{respond(failed, true), respond(failed, true)}, 500, "fail", 2},
		{"preceded by an answer to another request", nonIdempotent, []script{respond(other+okAnswer, true)}, 200, "hello", 1},
		{"only an answer to another request", nonIdempotent, []script{respond(other, false), respond(okAnswer, true)}, 502, "", 1},
		{"bytes that are no answer", nonIdempotent, []script{respond("garbage\r\n\r\n", false)}, 502, "", 1},
		{"unsigned success", nonIdempotent, []script{respond("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nno", true)}, 502, "", 1},
		{"without length, closed", nonIdempotent, []script{respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\nhello", false)}, 200, "hello", 1},
		{"without length, closed before the body", nonIdempotent, []script{respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n", false)}, 502, "", 1},
		{"without length, closed before the body, idempotent", idempotent, []script{respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n", false), respond(okAnswer, true)}, 200, "hello", 2},
		{"without length, reset", nonIdempotent, []script{reset("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\nhel")}, 502, "", 1},
		{"informational first", nonIdempotent, []script{respond("HTTP/1.1 102 Wait\r\n\r\n"+okAnswer, true)}, 200, "hello", 1},
		{"all busy", idempotent, []script{respond(notRun, true), respond(notRun, true)}, 503, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.scripts...)
			resp, body, complete := b.send(get(""))
			if resp == nil || !complete {
				t.Fatalf("no complete answer: %v", resp)
			}
			if resp.StatusCode != tt.status {
				t.Errorf("status = %d, want %d", resp.StatusCode, tt.status)
			}
			if tt.body != "" && body != tt.body {
				t.Errorf("body = %q, want %q", body, tt.body)
			}
			if tt.body == "" && resp.Header.Get("Signature") != "" {
				t.Error("an answer of the router carries a signature")
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

// TestTruncatedAnswerIsNotComplete truncates an answer after each of its bytes: the client must
// not get a complete success unless all bytes were sent.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	text := strings.ReplaceAll(okAnswer, "ID", "1")
	length := 0
	b := newFixture(t, nonIdempotent, func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text[:length])
		return err == nil && false
	})
	for length = range len(text) + 1 {
		resp, body, complete := b.send(get(""))
		success := resp != nil && complete && resp.StatusCode == http.StatusOK
		if want := length == len(text); success != want || success && body != "hello" {
			t.Fatalf("truncated after %d of %d bytes: success = %v, body %q", length, len(text), success, body)
		}
	}
}

// TestExtraAnswerIsNotForwarded has a replica send one answer too many on a persistent
// connection: no later request gets it.
func TestExtraAnswerIsNotForwarded(t *testing.T) {
	b := newFixture(t, idempotent, respond(okAnswer+okAnswer, true))
	for i := range 3 {
		raw := strings.Replace(get(""), "Id: 1", fmt.Sprintf("Id: %d", i), 1)
		resp, body, complete := b.send(raw)
		if resp == nil || !complete || resp.Header.Get("Id") != fmt.Sprint(i) || body != "hello" {
			t.Fatalf("request %d: %v %q %v", i, resp, body, complete)
		}
	}
}

func TestForwardedUnchanged(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
	raw := "POST /p/a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: h.example\r\nId: 7\r\nKey: k\r\nOrganisation: forged\r\n" +
		"Replica: forged\r\nConnection: Id, X-Gone\r\nX-Gone: 1\r\nX-Kept: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	if resp, _, _ := b.send(raw); resp == nil || resp.StatusCode != http.StatusOK {
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
	b := newFixture(t, nonIdempotent, respond(okAnswer, true))
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
		resp, _, _ := b.send(tt.raw)
		if resp == nil || resp.StatusCode != tt.status {
			t.Errorf("%s: answer = %v, want status %d", tt.name, resp, tt.status)
			continue
		}
		retryAfter, mayRetry := resp.Header.Get("Retry-After"), tt.status == http.StatusRequestTimeout
		if (retryAfter != "") != mayRetry {
			t.Errorf("%s: Retry-After is %q, want one: %v", tt.name, retryAfter, mayRetry)
		}
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d denied requests reached the replica", n)
	}
}

// TestNonIdempotentNotResent has a replica that closes persistent connections on the next
// request: a GET on a route that is not idempotent must not be sent again.
func TestNonIdempotentNotResent(t *testing.T) {
	served := 0
	b := newFixture(t, nonIdempotent, func(c net.Conn, r *http.Request, body string) bool {
		served++
		return served == 1 && respond(okAnswer, true)(c, r, body)
	})
	if resp, _, _ := b.send(get("")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first answer = %v", resp)
	}
	resp, _, _ := b.send(get(""))
	if resp == nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("second answer = %v, want 502", resp)
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("%d requests reached the replica, want 2", n)
	}
}

// TestEarlyAnswer has a replica answer before it has read a long body.
func TestEarlyAnswer(t *testing.T) {
	b := newFixture(t, nonIdempotent)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	b.proxy.Table.Merge(entryAt("early", l.Addr().String()))
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
		if _, err := io.WriteString(c, strings.ReplaceAll(okAnswer, "ID", r.Header.Get("Id"))); err != nil {
			return err
		}
		data, _ := io.ReadAll(r.Body) // the router may close before the end
		rest <- string(data)
		return nil
	})
	body := strings.Repeat("b", 90000)
	resp, _, complete := b.send(post(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body))
	if resp == nil || !complete || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v, complete %v", resp, complete)
	}
	if got := <-rest; strings.Trim(got, "b") != "" {
		t.Errorf("the replica read other bytes than the body: %q", strings.Trim(got, "b"))
	}
}

// TestClientDisconnectClosesReplicaConn checks that the connection to the replica is closed when
// the client disconnects.
func TestClientDisconnectClosesReplicaConn(t *testing.T) {
	closed := make(chan time.Time, 1)
	reached := make(chan struct{})
	b := newFixture(t, nonIdempotent, func(c net.Conn, _ *http.Request, _ string) bool {
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

// TestConnectionLimit opens more connections than are allowed, each of which has got an answer and may be used again: those
// beyond the limit are closed, and a new one is accepted after another has ended. Connections without a request are evicted, which
// the tests of httpserve show.
func TestConnectionLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := newFixtureOn(t, l, func(f *Proxy) { f.KeepAliveTimeout = time.Minute }, nonIdempotent, respond(okAnswer, true))
	var open []net.Conn
	for range b.proxy.MaxConnections {
		c, err := net.Dial("tcp", b.url)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if resp, _, _ := b.sendOn(c, bufio.NewReader(c), get("")); resp == nil {
			t.Fatal("a connection within the limit got no answer")
		}
		open = append(open, c)
	}
	b.awaitIdle(len(open))
	if resp, _, _ := b.send(get("")); resp != nil {
		t.Errorf("a connection beyond the limit was answered %d", resp.StatusCode)
	}
	if err := open[0].Close(); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		if resp, _, _ := b.send(get("")); resp != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no connection was accepted after one had ended")
}

// TestKeepAliveIsAnnounced has answers of a replica and of the router itself announce the
// keep-alive timeout, until the router stops.
func TestKeepAliveIsAnnounced(t *testing.T) {
	answer := respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok", true)
	type announced struct{ Connection, KeepAlive string }
	for name, raw := range map[string]string{"answered": get(""), "denied": strings.Replace(get(""), "/", "/nowhere/", 1)} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, idempotent, answer, answer)
			b.proxy.KeepAliveTimeout = 2500 * time.Millisecond
			for _, want := range []announced{{"keep-alive", "timeout=2"}, {"close", ""}} {
				resp, _, _ := b.send(raw)
				if resp == nil {
					t.Fatal("no answer")
				}
				connection := resp.Header.Get("Connection")
				if resp.Close {
					connection = "close" // http.ReadResponse removes the header
				}
				if diff := cmp.Diff(want, announced{connection, resp.Header.Get("Keep-Alive")}); diff != "" {
					t.Errorf("connection (-want +got):\n%s", diff)
				}
				b.proxy.Stop(StopPolicy{AcceptAllUntil: b.proxy.Clock.Now().Add(time.Minute)})
			}
		})
	}
}

// TestStopEndsConnections has a router stop before it has written the head of an answer, beside an idle
// connection: the busy connection ends with its answer, the idle one serves a last request.
func TestStopEndsConnections(t *testing.T) {
	running, proceed := make(chan struct{}), make(chan struct{})
	slow := func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\no") // an error would show at the client
		close(running)
		<-proceed
		_, _ = io.WriteString(c, "k")
		return false
	}
	b := newFixture(t, longStream, slow)
	b.proxy.KeepAliveTimeout = 2 * time.Second
	idle := b.dial()
	if resp, _, _ := b.sendOn(idle, bufio.NewReader(idle), strings.Replace(get(""), "/", "/nowhere/", 1)); resp == nil || resp.Close {
		t.Fatalf("the idle connection was not kept: %v", resp)
	}
	b.awaitIdle(1)
	busy := b.dial()
	b.group.Go(func() error {
		<-running
		b.proxy.Stop(StopPolicy{AcceptAllUntil: b.proxy.Clock.Now().Add(time.Minute)})
		close(proceed)
		return nil
	})
	reader := bufio.NewReader(busy)
	if _, body, complete := b.sendOn(busy, reader, get("")); !complete || body != "ok" {
		t.Fatalf("the answer in flight is %q, complete %v", body, complete)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("after the answer in flight: %v, want the connection's end", err)
	}
	if resp, _, _ := b.sendOn(idle, bufio.NewReader(idle), strings.Replace(get(""), "/", "/nowhere/", 1)); resp == nil || !resp.Close {
		t.Errorf("the idle connection's last answer is %v", resp)
	}
}

// TestRequestsDuringStop has requests arrive at a stopping router: those that end before the stop
// does are run. The others are refused at once with a Retry-After and have not run.
func TestRequestsDuringStop(t *testing.T) {
	tests := []struct {
		name   string
		all    time.Duration // from now until when all requests are accepted
		by     time.Duration // from now until when later requests must be answered
		status int
	}{
		{"not late", time.Minute, 0, http.StatusOK},
		{"late and short", -time.Second, time.Minute, http.StatusOK},
		{"late and long", -time.Second, idempotent.Timeout / 2, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, idempotent, respond(okAnswer, true))
			now := b.proxy.Clock.Now()
			b.proxy.Stop(StopPolicy{AcceptAllUntil: now.Add(tt.all), AnswerBy: now.Add(tt.by)})
			resp, _, complete := b.send(get(""))
			if resp == nil || !complete || resp.StatusCode != tt.status || !resp.Close {
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
