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

const editInterval = 500 * time.Millisecond

// edit is an accepted edit of the configuration. It adds an organisation with its own key.
type edit struct {
	number int
	at     time.Time // when it was accepted
}

// editor edits the configuration and records the accepted edits.
type editor struct {
	bed *testbed.Bed

	mu       sync.Mutex
	next     int
	accepted []edit
}

func newEditor(bed *testbed.Bed) *editor { return &editor{bed: bed} }

// run edits at intervals until sending ends.
func (ed *editor) run(ctx, sending context.Context) {
	for sending.Err() == nil {
		ed.edit(ctx)
		select {
		case <-sending.Done():
		case <-time.After(editInterval):
		}
	}
}

// editConcurrently runs several editors in parallel, each making the number of edits.
func (ed *editor) editConcurrently(ctx context.Context, editors, edits int) {
	var group errgroup.Group
	for range editors {
		group.Go(func() error {
			for range edits {
				ed.edit(ctx)
			}
			return nil
		})
	}
	// The functions of the group return nil.
	_ = group.Wait()
}

// edit adds an organisation. The edit is not recorded if it may not have been accepted.
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

// acceptedEdits returns the accepted edits so far.
func (ed *editor) acceptedEdits() []edit {
	ed.mu.Lock()
	defer ed.mu.Unlock()
	return append([]edit(nil), ed.accepted...)
}

func probeKey(n int) string { return fmt.Sprintf("probe-key-%d", n) }
