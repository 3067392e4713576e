package edge

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"peridotusher.example/peridotusher"
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
