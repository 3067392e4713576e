package hosts_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"peridotusher.example/peridotusher/hosts"
	"peridotusher.example/peridotusher/standin"
)

// BenchmarkCapacityList reads lists of several sizes. It measures the cost per host
// that docs/CAPACITY.md uses: go test ./hosts -run '^$' -bench Capacity
func BenchmarkCapacityList(b *testing.B) {
	for _, n := range []int{30, 300, 1770} {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			server := &standin.Hosts{}
			for i := range n {
				labels := map[string]string{"name": fmt.Sprintf("engine-zone-%02d-%04d", i%14, i), "kind": "engine", "zone": fmt.Sprintf("zone-%02d", i%14), "state": "live"}
				h, err := hosts.NewHost(fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), labels)
				if err != nil {
					b.Fatal(err)
				}
				server.Set(h)
			}
			client := &hosts.Client{URL: start(b, server)}
			resp, err := http.Get(client.URL)
			if err != nil {
				b.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := client.List(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "body-B")
		})
	}
}
