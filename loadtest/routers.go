package loadtest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

// clockTicks is the number of ticks per second in which Linux counts CPU time.
const clockTicks = 100

// usage is the resources that one router process has used so far.
type usage struct {
	cpu     time.Duration
	rss     int // bytes
	bytes   float64
	asks    float64
	permits map[float64]float64 // counts by upper bucket end of the time to a permit, in seconds
}

// readUsage reads a router's metrics and the system's counters of its process.
func readUsage(ctx context.Context, r *testbed.Router) (usage, error) {
	u := usage{permits: map[float64]float64{}}
	if err := u.readProcess(r.PID()); err != nil {
		return u, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.Operator+"/metrics", nil)
	if err != nil {
		return u, err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		u.readMetric(scanner.Text())
	}
	return u, scanner.Err()
}

// readMetric reads one line of the Prometheus text format.
func (u *usage) readMetric(line string) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return
	}
	value, err := strconv.ParseFloat(line[i+1:], 64)
	if err != nil {
		return
	}
	switch name := line[:i]; {
	case strings.HasPrefix(name, "peridotusher_peer_bytes{"):
		u.bytes += value
	case name == "peridotusher_asks_total":
		u.asks = value
	case strings.HasPrefix(name, "peridotusher_permit_seconds_bucket{"):
		_, upper, _ := strings.Cut(strings.TrimRight(name, `"}`), "...")
		if end, err := strconv.ParseFloat(upper, 64); err == nil {
			u.permits[end] = value
		}
	}
}

// readProcess reads the CPU time and resident memory from /proc.
func (u *usage) readProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	const userTime, systemTime, residentPages = 11, 12, 21 // positions after the command's name
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= residentPages {
		return fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	ticks := atoi(fields[userTime]) + atoi(fields[systemTime])
	u.cpu = time.Duration(ticks) * time.Second / clockTicks
	u.rss = atoi(fields[residentPages]) * os.Getpagesize()
	return nil
}

func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// permitPercentile returns the upper end of the bucket that contains the fraction p of
// the times to a permit, for the permits granted between the two readings.
func permitPercentile(before, after []usage, p float64) time.Duration {
	counts := map[float64]float64{}
	total := 0.0
	for i := range after {
		for end, n := range after[i].permits {
			counts[end] += n - before[i].permits[end]
			total += n - before[i].permits[end]
		}
	}
	ends := make([]float64, 0, len(counts))
	for end := range counts {
		ends = append(ends, end)
	}
	sort.Float64s(ends)
	cumulative := 0.0
	for _, end := range ends {
		cumulative += counts[end]
		if cumulative >= p*total {
			return time.Duration(end * float64(time.Second))
		}
	}
	return 0
}
