package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/peer"
)

const testKey = "test-operator-key"

// testPeers stands for one other router, which is dead.
type testPeers struct{}

// PeerStates implements Peers.
func (testPeers) PeerStates() map[peridotusher.RouterID]peer.ReportedState { return nil }

// OperatorAddress implements Peers.
func (testPeers) OperatorAddress(context.Context, peridotusher.RouterID) (string, error) {
	return "", errors.New("dead")
}

// startServer starts the server of a router that knows a dead router and two engines.
func startServer(t *testing.T) (*Server, *Client) {
	t.Helper()
	doc, problems := document.Parse("kalimera.ini", examples.Kalimera)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	clock := peridotusher.ClockFunc(time.Now)
	s := &Server{
		Metrics:  NewMetrics(clock),
		KeyHash:  document.HashKey(testKey),
		Self:     "router-a1",
		Zone:     "a",
		Started:  clock.Now(),
		Members:  peridotusher.NewMembers(peridotusher.NewMember("router-a1", "a", "127.0.0.1:1", 1), clock),
		Engines:  peridotusher.NewEngines(),
		Ledger:   peridotusher.NewLedger(),
		Burn:     peridotusher.NewBurn(clock, 10),
		Peers:    testPeers{},
		Document: func() *document.Document { return doc.WithRevision(7) },
	}
	s.Placer = &peridotusher.Placer{Engines: s.Engines}
	s.Members.Propose([]peridotusher.Member{peridotusher.NewMember("router-b1", "b", "127.0.0.1:2", 0)})
	s.Engines.SetListed([]peridotusher.Engine{
		peridotusher.NewEngine("engine-a1", "a", "127.0.0.1:3"),
		peridotusher.NewEngine("engine-b1", "b", "127.0.0.1:4"),
	})
	report := peridotusher.EngineReport{Versions: []peridotusher.LoadedVersion{{Model: "stylist", Version: "v1", Ready: true}, {Model: "stylist", Version: "v2", Ready: true}}}
	s.Engines.SetReport("engine-a1", report)
	s.Engines.SetReport("engine-b1", report)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	s.Address = strings.TrimPrefix(server.URL, "http://")
	return s, &Client{Routers: []string{s.Address}, Key: testKey}
}

func TestOnlyMetricsNeedNoKey(t *testing.T) {
	s, _ := startServer(t)
	tests := []struct {
		path, key string
		want      int
	}{
		{"/metrics", "", http.StatusOK},
		{"/v1/status", "", http.StatusUnauthorized},
		{"/v1/burn", "wrong", http.StatusUnauthorized},
		{"/report", "", http.StatusUnauthorized},
		{"/v1/status", testKey, http.StatusOK},
		{"/report", testKey, http.StatusOK},
	}
	for _, tt := range tests {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.Address+tt.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.SetBasicAuth("operator", tt.key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if diff := cmp.Diff(tt.want, resp.StatusCode); diff != "" {
			t.Errorf("status of %s with key %q (-want +got):\n%s", tt.path, tt.key, diff)
		}
	}
}

func TestStatusNamesSilentRouters(t *testing.T) {
	_, c := startServer(t)
	status, err := c.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := status.Text(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"router router-b1 gave no answer", "engine-b1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in:\n%s", want, text.String())
		}
	}
	if status.Healthy() {
		t.Error("status with a silent router is healthy")
	}
}

func TestDisagreements(t *testing.T) {
	engine := func(owner string) []engineBody { return []engineBody{{Engine: "e", Owner: owner}} }
	got := disagreements([]statusBody{
		{Router: "a", Revision: 1, Engines: engine("a")},
		{Router: "b", Revision: 2, Engines: engine("b")},
		{Router: "c", Revision: 2, Engines: engine("b")},
	})
	want := []string{"configuration revision: 1 at a; 2 at b c", "owner of e: a at a; b at b c"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("disagreements (-want +got):\n%s", diff)
	}
}

func TestReportSaysWhatIsMissing(t *testing.T) {
	s, c := startServer(t)
	for i := range 100 {
		s.Burn.Record(peridotusher.Outcome{Organisation: "shop-athina", Class: "chat", Value: 1, Objective: 0.99, Good: i > 0})
	}
	report, err := c.Report(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var text, html strings.Builder
	if err := errors.CombineErrors(report.Text(&text), report.HTML(&html)); err != nil {
		t.Fatal(err)
	}
	for _, out := range []string{text.String(), html.String()} {
		for _, want := range []string{"MISSING: router router-b1", "1 of 2 routers", "shop-athina", "99.000%"} {
			if !strings.Contains(out, want) {
				t.Errorf("no %q in:\n%s", want, out)
			}
		}
	}
	if links := regexp.MustCompile(`(src|href)=|url\(|@import`).FindAllString(html.String(), -1); len(links) > 0 {
		t.Errorf("the page loads %q", links)
	}
	body, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	var got reportBody
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]float64{1, 1, 1, 1}, got.Rows[0].Rates, cmp.Comparer(almostEqual)); diff != "" {
		t.Errorf("burn rates (-want +got):\n%s", diff)
	}
	if got.Complete {
		t.Error("a report without a dead router's share is complete")
	}
}

func almostEqual(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestDrainAndExplain(t *testing.T) {
	_, c := startServer(t)
	accepted, err := c.DrainEngine(t.Context(), "engine-a1")
	if diff := cmp.Diff([]string{"router-a1"}, accepted); diff != "" || err == nil {
		t.Errorf("drain: err %v, accepted (-want +got):\n%s", err, diff)
	}
	if _, err := c.DrainEngine(t.Context(), "nobody"); !errors.Is(err, ErrNotFound) {
		t.Errorf("drain of an unknown name: %v", err)
	}
	explanation, err := c.Explain(t.Context(), "shop-athina", "stylist", "chat-1", "")
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := explanation.Text(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`1     engine-b1`, "is leaving", "rule everywhere"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in:\n%s", want, text.String())
		}
	}
	if _, err := c.Explain(t.Context(), "nobody", "stylist", "chat-1", ""); !errors.Is(err, ErrNotFound) {
		t.Errorf("explanation for an unknown organisation: %v", err)
	}
}

func TestOrganisationLabelsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewMetrics(peridotusher.ClockFunc(func() time.Time { return now }))
	record := func(from, to int) {
		for i := from; i < to; i++ {
			m.Record(caller.Outcome{Organisation: fmt.Sprint("org-", i), Class: "chat", Verdict: peridotusher.Ran, Complete: true, InTime: true})
		}
	}
	record(0, 2*maxNamedOrganisations)
	if diff := cmp.Diff(maxNamedOrganisations+1, countLines(m, requestsPrefix)); diff != "" {
		t.Errorf("series (-want +got):\n%s", diff)
	}
	now = now.Add(2 * nameIdleTime)
	record(3*maxNamedOrganisations, 4*maxNamedOrganisations)
	if diff := cmp.Diff(maxNamedOrganisations+1, countLines(m, requestsPrefix)); diff != "" {
		t.Errorf("series after an idle time (-want +got):\n%s", diff)
	}
}

func countLines(m *Metrics, prefix string) int {
	var out bytes.Buffer
	m.set.WritePrometheus(&out)
	n := 0
	for {
		line, err := out.ReadString('\n')
		if strings.HasPrefix(line, prefix) {
			n++
		}
		if errors.Is(err, io.EOF) {
			return n
		}
	}
}

// TestExplainWithoutRouters guards against a crash of a client that has no router to ask.
func TestExplainWithoutRouters(t *testing.T) {
	if e, err := (&Client{}).Explain(context.Background(), "o", "m", "c", ""); err == nil {
		t.Errorf("explanation %v of no router", e)
	}
}
