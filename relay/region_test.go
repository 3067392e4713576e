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

// limit sets the regions of the bed's route and of its organisation. Replicas a and b are in
// eu, c is in us and d in no region.
func (b *bed) limit(route, organisation []string) {
	b.front.Regions = map[string]string{"a": "eu", "b": "eu", "c": "us"}
	doc := b.front.Current.Load()
	doc.Routes[0].Regions, doc.Organisations[0].Regions = route, organisation
}

// TestRegions has replicas in two regions and in none: requests reach those that the lists of
// the route and the organisation both name.
func TestRegions(t *testing.T) {
	tests := []struct {
		name                string
		route, organisation []string
		reached             string
	}{
		{"no list", nil, nil, "abcd"},
		{"empty lists", []string{}, []string{}, "abcd"},
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
				b := newBed(t, once, say(fine, true), say(fine, true), say(fine, true), say(fine, true))
				b.limit(tt.route, tt.organisation)
				b.front.Current.Load().Routes[0].Public = public
				reached := map[string]bool{}
				for i := range 60 {
					resp, body, _ := b.ask(strings.Replace(get(""), "Id: 1", fmt.Sprint("Id: ", i), 1))
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

// checkReached checks the answer of a request that a replica gets, or for which the regions
// leave none.
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

// TestRetriesKeepToTheRegion has the replicas of the region fail, before anything was sent
// on and midway: no other one gets the request or the rest of the stream.
func TestRetriesKeepToTheRegion(t *testing.T) {
	broken := streamHead + chunk(event(1)) + chunk(event(2)+"id: 3\nda")
	failed := "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfail"
	refused := "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	unlimited, unlimitedStream := repeatable, resumable
	unlimited.MaxAttempts, unlimitedStream.MaxAttempts = 4, 4
	tests := []struct {
		name    string
		route   routing.Route
		first   script
		request string
	}{
		{"unreachable", unlimited, nil, get("")},
		{"reset", unlimited, reset(""), get("")},
		{"failed", unlimited, say(failed, true), get("")},
		{"refused", unlimited, say(refused, true), get("")},
		{"broken stream", unlimitedStream, reset(broken), post("Prompt: a bb\r\nContent-Length: 0\r\n", "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, tt.route, tt.first, tt.first, say(fine, true), from)
			b.limit([]string{"eu"}, nil)
			for range 5 {
				b.ask(tt.request)
			}
			for _, r := range b.requests() {
				if r.replica == "c" || r.replica == "d" {
					t.Errorf("replica %s was reached", r.replica)
				}
			}
		})
	}
}

// TestSourcesKeepToTheRegion has replicas of two regions hold a part of a prompt, and those
// of the one that the request may reach be full: the parts come from none of the other one.
func TestSourcesKeepToTheRegion(t *testing.T) {
	for _, tt := range []struct {
		regions []string
		want    bool
	}{{nil, true}, {[]string{"eu"}, false}} {
		b := newBed(t, stream, from, nil, nil)
		b.limit(tt.regions, nil)
		now := time.Now()
		b.front.CacheHolders = func(context.Context, uint64) []placing.CacheHolder {
			return []placing.CacheHolder{{Replica: replicas.HashOf("c", 0)}}
		}
		for _, r := range b.front.Table.Ready("s")[1:] {
			for range 100 {
				defer r.Acquire()() // full
			}
			r.Record(now, replicas.Good)
		}
		b.ask(post("Prompt: a bb\r\nContent-Length: 0\r\n", ""))
		requests := b.requests()
		if len(requests) != 1 || (requests[0].header.Get("Source") != "") != tt.want {
			t.Errorf("regions %v: requests %+v, want a source: %v", tt.regions, requests, tt.want)
		}
	}
}

// TestEvacuatedIsRefusedAtOnce has zones evacuated until no replica is left, before and after
// the request came: it is refused at once, and the log says why.
func TestEvacuatedIsRefusedAtOnce(t *testing.T) {
	b := newBed(t, repeatable, say(fine, true), say(fine, true))
	b.front.Table.Evacuate([]replicas.Evacuation{{Zone: "a", Active: true, Revision: 1}})
	for range 20 {
		if resp, _, _ := b.ask(get("")); resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("answer = %v with a zone left", resp)
		}
	}
	b.front.Table.Evacuate([]replicas.Evacuation{{Zone: "b", Active: true, Revision: 2}})
	began := time.Now()
	resp, body, _ := b.ask(get(""))
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || body != "evacuated\n" {
		t.Errorf("answer = %v, %q without a zone", resp, body)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	story := logged(t, b, get(""))
	if len(story) != 1 {
		t.Fatalf("story = %v", story)
	}
	checkWords(t, story[0], []string{"why=evacuated", "sends=0"})
	for _, r := range b.requests() {
		if r.replica != "b" {
			t.Errorf("replica %s of an evacuated zone was reached", r.replica)
		}
	}
}

// TestEvacuatedWhileRunning has the zone evacuated while a stream runs there: the stream ends
// whole. One that breaks then does not go on there.
func TestEvacuatedWhileRunning(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		reached, goOn := make(chan struct{}), make(chan struct{})
		var b *bed
		slow := func(c net.Conn, r *http.Request, body string) bool {
			close(reached)
			<-goOn
			if breaks {
				return reset(streamHead+chunk(event(1)))(c, r, body)
			}
			return from(c, r, body)
		}
		route := resumable
		route.Objective = time.Second
		b = newBed(t, route, slow, from)
		b.front.Table.Evacuate([]replicas.Evacuation{{Zone: "b", Active: true, Revision: 1}})
		b.group.Go(func() error {
			<-reached
			b.front.Table.Evacuate([]replicas.Evacuation{{Zone: "a", Active: true, Revision: 2}})
			close(goOn)
			return nil
		})
		_, body, whole := b.ask(post("Prompt: a bb\r\nContent-Length: 0\r\n", ""))
		if whole == breaks || !breaks && body != event(1)+event(2)+event(3)+event(4)+event(5) {
			t.Errorf("breaks %v: whole %v, body %q", breaks, whole, body)
		}
		if n := len(b.requests()); n != 1 {
			t.Errorf("breaks %v: %d requests reached replicas, want 1", breaks, n)
		}
	}
}

// TestEvacuatedWhileWaiting has the zone evacuated after its replica was chosen, while the
// request waits for another one's read: it goes elsewhere.
func TestEvacuatedWhileWaiting(t *testing.T) {
	b := newBed(t, stream, from)
	r := b.front.Table.Ready("s")[0]
	b.front.Table.Evacuate([]replicas.Evacuation{{Zone: "a", Active: true, Revision: 1}})
	req, err := http.NewRequest(http.MethodGet, "/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	doc := b.front.Current.Load()
	task := &task{front: b.front, r: req, doc: doc, route: doc.Routes[0], serviceName: "s", tried: map[string]bool{}}
	if task.try(t.Context(), r) || len(b.requests()) > 0 || !task.mayTryAgain() {
		t.Error("the request reached the replica, or is not tried elsewhere")
	}
	if diff := cmp.Diff("evacuated", task.whyNone()); diff != "" {
		t.Errorf("why (-want +got):\n%s", diff)
	}
}
