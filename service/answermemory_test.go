package service_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/service"
)

// heapBytes returns the memory that the objects on the heap use.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// TestEndlessAnswersShareMemory guards against answers without end that together use up the memory,
// although each has a limit. Sound answers must arrive meanwhile.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const (
		calls  = 60
		limit  = 8 << 20
		memory = 16 << 20
		// maxGrowth is to the memory for answers as a router's 256 MB are to the default of 32 MB.
		maxGrowth = 8 * memory
		soundSize = 1 << 20
	)
	endpoint := func(endless bool) string {
		block := bytes.Repeat([]byte("a"), 64<<10)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for n := 0; endless || n < soundSize; n += len(block) {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	faulty, sound := endpoint(true), endpoint(false)
	client := newClient(t, service.Options{AnswerLimit: limit, AnswerMemory: memory})
	before := heapBytes()
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	var group errgroup.Group
	for range calls {
		group.Go(func() error {
			for ctx.Err() == nil {
				if _, err := client.Call(ctx, faulty, service.Request{Method: http.MethodGet, Path: "/"}); err == nil {
					t.Error("an endless answer was accepted")
				}
			}
			return nil
		})
	}
	var largest int64
	served := 0
	for ctx.Err() == nil {
		largest = max(largest, heapBytes()-before)
		answer, err := client.Call(t.Context(), sound, service.Request{Method: http.MethodGet, Path: "/"})
		if err != nil || len(answer.Body) != soundSize {
			t.Fatalf("sound answer %d: %d bytes, %v", served, len(answer.Body), err)
		}
		served++
		largest = max(largest, heapBytes()-before)
	}
	_ = group.Wait() // the functions return no errors
	t.Logf("the heap grew by %d KB at most, %d sound answers", largest>>10, served)
	if largest > maxGrowth {
		t.Errorf("the heap grew by %d KB, want %d KB at most", largest>>10, maxGrowth>>10)
	}
}
