package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a router process.
type Usage struct {
	CPU         time.Duration // user and system
	Resident    int64         // bytes
	Goroutines  int
	Descriptors int
	Heap        int64 // bytes of heap spans in use
	Sent        int64 // bytes to other routers
	Received    int64 // bytes from other routers
	StoreCalls  int64
}

// ReadUsage reads the usage of a router process from /proc and its metrics.
func ReadUsage(pid int, operatorURL string) (Usage, error) {
	var u Usage
	cpu, err := readCPU(pid)
	if err != nil {
		return u, err
	}
	u.CPU = cpu
	resp, err := http.Get(operatorURL + "/metrics")
	if err != nil {
		return u, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			continue
		}
		if strings.HasPrefix(name, "peridotusher_store_calls{") {
			u.StoreCalls += int64(number)
		}
		switch name {
		case `peridotusher_peer_bytes{direction="sent"}`:
			u.Sent = int64(number)
		case `peridotusher_peer_bytes{direction="received"}`:
			u.Received = int64(number)
		case "process_resident_memory_bytes":
			u.Resident = int64(number)
		case "go_goroutines":
			u.Goroutines = int(number)
		case "process_open_fds":
			u.Descriptors = int(number)
		case "go_memstats_heap_inuse_bytes":
			u.Heap = int64(number)
		}
	}
	return u, scanner.Err()
}

// readCPU reads user and system time from /proc.
func readCPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command's name, in parentheses, may contain spaces.
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if !ok || len(fields) <= systemField {
		return 0, errors.New("unexpected format of /proc/PID/stat")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * clockTick, nil
}
