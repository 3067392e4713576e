package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/tcp"
)

func TestMetrics(t *testing.T) {
	r := newTestRouter(t)
	r.recordStoreCall("replicas", nil)
	r.recordStoreCall("replicas", errors.New("refused"))
	var out bytes.Buffer
	r.metricSet.WritePrometheus(&out)
	for _, want := range []string{
		"peridotusher_configuration_version 0",
		"peridotusher_list_age_seconds -1",
		"peridotusher_routers 1",
		"peridotusher_active_requests 0",
		"peridotusher_ready 0",
		`peridotusher_store_calls_total{call="replicas",outcome="ok"} 1`,
		`peridotusher_store_calls_total{call="replicas",outcome="failed"} 1`,
	} {
		if !strings.Contains(out.String(), want+"\n") {
			t.Errorf("the metrics lack %q:\n%s", want, out.String())
		}
	}
}

// TestBurnReport checks the error budget report and its metrics for a route on which a quarter of
// the requests failed and half may.
func TestBurnReport(t *testing.T) {
	r := newTestRouter(t)
	for i := range 20 {
		r.burn.Record(peridotusher.Outcome{Organisation: "shop", Class: "chat", Value: 1, Objective: 0.5, Good: i >= 5})
	}
	for path, wants := range map[string][]string{
		"/report":  {"chat   all           20        0.7500   0.5", "chat   shop          20        0.7500   0.5"},
		"/metrics": {`peridotusher_burn_rate{route="chat",organisation="",window="5m0s"} 0.5`, "peridotusher_routers 1"},
	} {
		w := httptest.NewRecorder()
		r.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		for _, want := range wants {
			if !strings.Contains(w.Body.String(), want) {
				t.Errorf("%s lacks %q:\n%s", path, want, w.Body)
			}
		}
	}
}

// TestMetricsReaderPauses guards against metrics that are cut off because their reader pauses for longer
// than the TCP_USER_TIMEOUT of clients.
func TestMetricsReaderPauses(t *testing.T) {
	const size = 8 << 20 // more than the socket buffers hold
	l, err := listenForReports(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	ctx, stop := context.WithCancel(t.Context())
	group.Go(func() error {
		return (&Router{clock: NewClock(), Log: discardLog{}, metricSet: metrics.NewSet()}).serve(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size)) // the reader counts the bytes
		}))
	})
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	time.Sleep(tcp.UnackedTimeout + 1500*time.Millisecond)
	n, err := io.Copy(io.Discard, resp.Body)
	if diff := cmp.Diff(int64(size), n); diff != "" || err != nil {
		t.Errorf("bytes (-want +got):\n%s%v", diff, err)
	}
	stop()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
