package fleettest

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

// metricValues holds one router's metrics by name.
type metricValues map[string]float64

// readMetrics returns the metrics of a router, or nil if it does not answer.
func (b *fleet) readMetrics(r *testbed.Router) metricValues {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodGet, r.Operator+"/metrics", nil)
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testbed.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	values := metricValues{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(digits, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// waitMetric waits until a metric of the router has the value and returns the time that
// it took.
func (b *fleet) waitMetric(r *testbed.Router, name string, want float64) time.Duration {
	b.t.Helper()
	began := time.Now()
	for b.readMetrics(r)[name] != want {
		if time.Since(began) > waitTimeout {
			b.t.Fatalf("%s of %s is %v, want %v", name, r.Name, b.readMetrics(r)[name], want)
		}
		time.Sleep(probeInterval)
	}
	return time.Since(began)
}
