package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/testbed"
)

const editPause = 500 * time.Millisecond

// edit is one accepted change: a new organisation with a key of its own.
type edit struct {
	number int
	at     time.Time // when it was accepted
}

// editor edits the configuration and remembers what was accepted.
type editor struct {
	bed *testbed.Bed

	mu       sync.Mutex
	next     int
	accepted []edit
}

func newEditor(bed *testbed.Bed) *editor { return &editor{bed: bed} }

// run edits again and again until playing ends.
func (ed *editor) run(ctx, playing context.Context) {
	for playing.Err() == nil {
		ed.edit(ctx)
		select {
		case <-playing.Done():
		case <-time.After(editPause):
		}
	}
}

// race lets several editors edit at once.
func (ed *editor) race(ctx context.Context, editors, edits int) {
	var group errgroup.Group
	for range editors {
		group.Go(func() error {
			for range edits {
				ed.edit(ctx)
			}
			return nil
		})
	}
	// The editors report no errors.
	_ = group.Wait()
}

// edit adds an organisation. A change whose acceptance is not certain is not
// remembered.
func (ed *editor) edit(ctx context.Context) {
	ed.mu.Lock()
	n := ed.next
	ed.next++
	ed.mu.Unlock()
	section := fmt.Sprintf("\n[organisation probe-%d]\nkeys = %s\n", n, document.HashKey(probeKey(n)))
	err := ed.bed.EditDocument(ctx, func(text []byte) []byte {
		return append(bytes.Clone(text), section...)
	})
	if err != nil {
		return
	}
	ed.mu.Lock()
	defer ed.mu.Unlock()
	ed.accepted = append(ed.accepted, edit{number: n, at: time.Now()})
}

// all returns the accepted edits so far.
func (ed *editor) all() []edit {
	ed.mu.Lock()
	defer ed.mu.Unlock()
	return append([]edit(nil), ed.accepted...)
}

func probeKey(n int) string { return fmt.Sprintf("probe-key-%d", n) }
