package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/routing"
)

// answerSummary is what a client can tell of an answer.
type answerSummary struct {
	Status                        int
	Body                          string
	Signature, NotRun, RetryAfter string
}

func summarize(resp *http.Response, body string) answerSummary {
	if resp == nil {
		return answerSummary{}
	}
	return answerSummary{resp.StatusCode, body, resp.Header.Get("Signature"), resp.Header.Get("Not-Run"), resp.Header.Get("Retry-After")}
}

// framings frame the body "fail" of an answer, each with whether its connection stays open.
var framings = map[string]bool{
	"Content-Length: 4\r\n\r\nfail":                            true,
	"Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n": true,
	"\r\nfail": false,
}

// TestRunIsNotAnsweredAsRefused guards against a status by which clients repeat a request that must not
// be repeated, although it has run: the replica answers so after the run, without promising anything.
func TestRunIsNotAnsweredAsRefused(t *testing.T) {
	const head = "HTTP/1.1 %d Status\r\nId: ID\r\nSignature: s\r\nRetry-After: 1\r\n%s"
	replaced := answerSummary{Status: http.StatusBadGateway, Body: reasonReplaced + "\n"}
	for _, route := range []routing.Route{nonIdempotent, streaming} {
		for status, want := range map[int]answerSummary{
			408: replaced, 421: replaced, 429: replaced, 503: replaced,
			404: {404, "fail", "s", "", "1"}, 500: {500, "fail", "s", "", "1"}, 504: {504, "fail", "s", "", "1"},
		} {
			for framing, keepOpen := range framings {
				b := newFixture(t, route, respond(fmt.Sprintf(head, status, framing), keepOpen), respond(okAnswer, true))
				resp, body, _ := b.send(post("Content-Length: 2\r\n", "hi"))
				if diff := cmp.Diff(want, summarize(resp, body)); diff != "" {
					t.Errorf("kind %v, status %d, %q (-want +got):\n%s", route.Kind, status, framing, diff)
				}
				if n := len(b.requests()); n != 1 {
					t.Errorf("kind %v, status %d, %q: %d requests reached replicas, want 1", route.Kind, status, framing, n)
				}
			}
		}
	}
}

// TestRetryableRunKeepsItsStatus guards against replacing the answers of requests that may be repeated.
func TestRetryableRunKeepsItsStatus(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		failed := respond(fmt.Sprintf("HTTP/1.1 %d Status\r\nId: ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfail", status), true)
		b := newFixture(t, idempotent, failed, failed)
		resp, body, _ := b.send(get(""))
		if diff := cmp.Diff(answerSummary{Status: status, Body: "fail", Signature: "s"}, summarize(resp, body)); diff != "" {
			t.Errorf("status %d (-want +got):\n%s", status, diff)
		}
	}
}

// TestReplacedAnswersAreCounted guards against logs and metrics that do not tell a replica's failure
// after a run from a refusal by the router.
func TestReplacedAnswersAreCounted(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond("HTTP/1.1 503 Status\r\nId: ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", true))
	b.send(get(""))
	var text strings.Builder
	b.counters.WritePrometheus(&text)
	for _, want := range []string{`peridotusher_replaced_total{route="r",status="503"} 1`, `peridotusher_requests_total{route="r",outcome="replaced"} 1`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}
