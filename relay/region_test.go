package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// limitRegions limits the regions of the fixture's route and organisation, unless a list is nil. Replicas
// a and b are in region eu, c is in us and d in none.
func (b *fixture) limitRegions(route, organisation []string) {
	b.proxy.Regions = map[string]string{"a": "eu", "b": "eu", "c": "us"}
	doc := b.proxy.Current.Load()
	doc.Routes[0].Regions, doc.Organisations[0].Regions = limitTo(route), limitTo(organisation)
}

func limitTo(regions []string) routing.RegionLimit {
	if regions == nil {
		return routing.RegionLimit{}
	}
	return routing.OnlyRegions(regions...)
}

// TestRegions has replicas in two regions and in none: requests reach only regions in the lists
// of both the route and the organisation.
func TestRegions(t *testing.T) {
	tests := []struct {
		name                string
		route, organisation []string
		reached             string
	}{
		{"no list", nil, nil, "abcd"},
		{"empty lists", []string{}, []string{}, ""},
		{"an empty list of the route", []string{}, nil, ""},
		{"an empty list of the organisation", nil, []string{}, ""},
		{"the route's", []string{"eu"}, nil, "ab"},
		{"the organisation's", nil, []string{"us"}, "c"},
		{"both", []string{"eu", "us"}, []string{"us", "asia"}, "c"},
		{"both, nothing in common", []string{"eu"}, []string{"us"}, ""},
		{"a region without replicas", []string{"asia"}, nil, ""},
		{"the name of an unknown zone", []string{"d", ""}, nil, ""},
	}
	for _, public := range []bool{false, true} {
		for _, tt := range tests {
			t.Run(fmt.Sprint(tt.name, public), func(t *testing.T) {
				b := newFixture(t, nonIdempotent, respond(okAnswer, true), respond(okAnswer, true), respond(okAnswer, true), respond(okAnswer, true))
				b.limitRegions(tt.route, tt.organisation)
				b.proxy.Current.Load().Routes[0].Public = public
				reached := map[string]bool{}
				for i := range 60 {
					resp, body, _ := b.send(strings.Replace(get(""), "Id: 1", fmt.Sprint("Id: ", i), 1))
					checkReached(t, resp, body, tt.reached != "")
				}
				for _, r := range b.requests() {
					reached[r.replica] = true
				}
				want := map[string]bool{}
				for _, id := range tt.reached {
					want[string(id)] = true
				}
				for id := range reached {
					if !want[id] {
						t.Errorf("replica %s was reached", id)
					}
				}
				if len(reached) == 0 && tt.reached != "" {
					t.Error("no replica was reached")
				}
			})
		}
	}
}

// checkReached checks that the request was served, or refused because no replica is in an allowed
// region.
func checkReached(t *testing.T, resp *http.Response, body string, served bool) {
	t.Helper()
	switch {
	case resp == nil:
		t.Fatal("no answer")
	case served && resp.StatusCode != http.StatusOK:
		t.Fatalf("status %d", resp.StatusCode)
	case !served && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || body != "region\n"):
		t.Fatalf("status %d, %q, Retry-After %q", resp.StatusCode, body, resp.Header.Get("Retry-After"))
	}
}

// TestRetriesStayInRegion has the replicas of the region fail, before anything was forwarded and
// midway: no replica elsewhere gets the request or resumes the stream.
func TestRetriesStayInRegion(t *testing.T) {
	broken := streamHead + chunk(event(1)) + chunk(event(2)+"id: 3\nda")
	failed := "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfail"
	refused := "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	unlimited, unlimitedStream := idempotent, resumable
	unlimited.MaxAttempts, unlimitedStream.MaxAttempts = 4, 4
	tests := []struct {
		name    string
		route   routing.Route
		first   script
		request string
	}{
		{"unreachable", unlimited, nil, get("")},
		{"reset", unlimited, reset(""), get("")},
		{"failed", unlimited, respond(failed, true), get("")},
		{"refused", unlimited, respond(refused, true), get("")},
		{"broken stream", unlimitedStream, reset(broken), post("Prompt: a bb\r\nContent-Length: 0\r\n", "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.first, tt.first, respond(okAnswer, true), resumeAfter)
			b.limitRegions([]string{"eu"}, nil)
			for range 5 {
				b.send(tt.request)
			}
			for _, r := range b.requests() {
				if r.replica == "c" || r.replica == "d" {
					t.Errorf("replica %s was reached", r.replica)
				}
			}
		})
	}
}

// TestSourcesStayInRegion has replicas of two regions hold a part of a prompt, with those of the
// allowed region full: the parts are not fetched from the other region.
func TestSourcesStayInRegion(t *testing.T) {
	for _, tt := range []struct {
		regions []string
		want    bool
	}{{nil, true}, {[]string{"eu"}, false}} {
		b := newFixture(t, streaming, resumeAfter, nil, nil)
		b.limitRegions(tt.regions, nil)
		now := time.Now()
		b.proxy.CacheHolders = func(context.Context, uint64) []placing.CacheHolder {
			return []placing.CacheHolder{{Replica: replicas.HashOf("c", 0)}}
		}
		for _, r := range b.proxy.Table.Ready("s")[1:] {
			for range 100 {
				defer r.Acquire()() // full
			}
			r.Record(now, replicas.Good)
		}
		b.send(post("Prompt: a bb\r\nContent-Length: 0\r\n", ""))
		requests := b.requests()
		if len(requests) != 1 || (requests[0].header.Get("Source") != "") != tt.want {
			t.Errorf("regions %v: requests %+v, want a source: %v", tt.regions, requests, tt.want)
		}
	}
}

// TestEvacuatedIsRefusedAtOnce has all zones evacuated one after the other: the request is
// refused at once, and the log says why.
func TestEvacuatedIsRefusedAtOnce(t *testing.T) {
	b := newFixture(t, idempotent, respond(okAnswer, true), respond(okAnswer, true))
	b.proxy.Table.MergeEvacuations([]replicas.Evacuation{{Zone: "a", Active: true, Revision: 1}})
	for range 20 {
		if resp, _, _ := b.send(get("")); resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("answer = %v with a zone left", resp)
		}
	}
	b.proxy.Table.MergeEvacuations([]replicas.Evacuation{{Zone: "b", Active: true, Revision: 2}})
	began := time.Now()
	resp, body, _ := b.send(get(""))
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || body != "evacuated\n" {
		t.Errorf("answer = %v, %q without a zone", resp, body)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	lines := requestLog(t, b, get(""))
	if len(lines) != 1 {
		t.Fatalf("log lines = %v", lines)
	}
	checkWords(t, lines[0], []string{"why=evacuated", "sends=0"})
	for _, r := range b.requests() {
		if r.replica != "b" {
			t.Errorf("replica %s of an evacuated zone was reached", r.replica)
		}
	}
}

// TestEvacuatedWhileRunning has the zone evacuated while a stream runs there: the stream is
// completed. If it breaks off then, it is not resumed there.
func TestEvacuatedWhileRunning(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		reached, proceed := make(chan struct{}), make(chan struct{})
		var b *fixture
		slow := func(c net.Conn, r *http.Request, body string) bool {
			close(reached)
			<-proceed
			if breaks {
				return reset(streamHead+chunk(event(1)))(c, r, body)
			}
			return resumeAfter(c, r, body)
		}
		route := resumable
		route.Objective = time.Second
		b = newFixture(t, route, slow, resumeAfter)
		b.proxy.Table.MergeEvacuations([]replicas.Evacuation{{Zone: "b", Active: true, Revision: 1}})
		b.group.Go(func() error {
			<-reached
			b.proxy.Table.MergeEvacuations([]replicas.Evacuation{{Zone: "a", Active: true, Revision: 2}})
			close(proceed)
			return nil
		})
		_, body, complete := b.send(post("Prompt: a bb\r\nContent-Length: 0\r\n", ""))
		if complete == breaks || !breaks && body != event(1)+event(2)+event(3)+event(4)+event(5) {
			t.Errorf("breaks %v: complete %v, body %q", breaks, complete, body)
		}
		if n := len(b.requests()); n != 1 {
			t.Errorf("breaks %v: %d requests reached replicas, want 1", breaks, n)
		}
	}
}

// TestEvacuatedWhileWaiting has the zone evacuated after its replica was chosen, while the
// request waits for another one's read: it is not sent there.
func TestEvacuatedWhileWaiting(t *testing.T) {
	b := newFixture(t, streaming, resumeAfter)
	r := b.proxy.Table.Ready("s")[0]
	b.proxy.Table.MergeEvacuations([]replicas.Evacuation{{Zone: "a", Active: true, Revision: 1}})
	req, err := http.NewRequest(http.MethodGet, "/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	doc := b.proxy.Current.Load()
	task := &task{proxy: b.proxy, r: req, doc: doc, route: doc.Routes[0], serviceName: "s", tried: map[string]bool{}}
	if task.attempt(t.Context(), r) || len(b.requests()) > 0 || !task.allowNextAttempt() {
		t.Error("the request reached the replica, or no other replica may be tried")
	}
	if diff := cmp.Diff("evacuated", task.noReplicaReason()); diff != "" {
		t.Errorf("why (-want +got):\n%s", diff)
	}
}
