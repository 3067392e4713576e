package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Streams reads many streamed answers concurrently and measures the time between their
// events.
type Streams struct {
	URL    func(n int) string // chat-completions address of the nth stream
	Key    string
	Model  string
	Count  int
	Tokens int

	mu     sync.Mutex
	gaps   *hdrhistogram.Histogram // between two events of a stream, in microseconds
	events int
}

// The range of the histogram in microseconds, and its significant digits.
const (
	maxGap    = 60_000_000
	gapDigits = 3
)

var dataPrefix = []byte("data: ")

// client keeps enough idle connections for all streams.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second}}

// Run opens every stream and reads it to its end.
func (s *Streams) Run(ctx context.Context) error {
	s.gaps = hdrhistogram.New(1, maxGap, gapDigits)
	var group errgroup.Group
	for n := range s.Count {
		group.Go(func() error { return s.read(ctx, n) })
	}
	return group.Wait()
}

// Gap returns a percentile of the time between two events.
func (s *Streams) Gap(percent float64) time.Duration {
	return time.Duration(s.gaps.ValueAtQuantile(percent)) * time.Microsecond
}

// Events returns the number of events received.
func (s *Streams) Events() int { return s.events }

func (s *Streams) read(ctx context.Context, n int) error {
	body, err := json.Marshal(map[string]any{
		"model":      s.Model,
		"messages":   []map[string]string{{"role": "user", "content": fmt.Sprint("stream ", n)}},
		"max_tokens": s.Tokens,
		"stream":     true,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL(n), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("stream %d: status %d", n, resp.StatusCode)
	}
	gaps, ended, err := readGaps(resp)
	if err != nil {
		return err
	}
	if !ended {
		return errors.Newf("stream %d ended without [DONE]", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events += len(gaps)
	for _, gap := range gaps[min(2, len(gaps)):] {
		// Longer gaps are recorded as maxGap.
		_ = s.gaps.RecordValue(min(max(gap.Microseconds(), 1), maxGap))
	}
	return nil
}

// readGaps returns the time before each event, and whether the stream ended with [DONE].
func readGaps(resp *http.Response) ([]time.Duration, bool, error) {
	scanner := bufio.NewScanner(resp.Body)
	last := time.Now()
	var gaps []time.Duration
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		if bytes.HasSuffix(line, []byte("[DONE]")) {
			return gaps, true, nil
		}
		now := time.Now()
		gaps = append(gaps, now.Sub(last))
		last = now
	}
	return gaps, false, scanner.Err()
}
