package fleettest

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

// readings are the metrics of one router by name.
type readings map[string]float64

// read returns the metrics of a router, none while it does not answer.
func (b *bench) read(r *testbed.Router) readings {
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
	values := readings{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, digits, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(digits, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// waitMetric waits until a metric of the router has the value and returns the
// time it took.
func (b *bench) waitMetric(r *testbed.Router, name string, want float64) time.Duration {
	b.t.Helper()
	began := time.Now()
	for b.read(r)[name] != want {
		if time.Since(began) > waitLimit {
			b.t.Fatalf("%s of %s is %v, want %v", name, r.Name, b.read(r)[name], want)
		}
		time.Sleep(probeInterval)
	}
	return time.Since(began)
}
