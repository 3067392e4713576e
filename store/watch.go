package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"peridotusher.example/peridotusher"
)

// Event is one change of a watched key.
type Event struct {
	entry   Entry
	deleted bool
}

// Entry returns the key with the value written; a deleted key has none.
func (e Event) Entry() Entry { return e.entry }

// Deleted reports whether the key was deleted.
func (e Event) Deleted() bool { return e.deleted }

// Revision returns the store's revision at which the key changed.
func (e Event) Revision() Revision { return e.entry.revision }

// The following are wire types of a watch.
type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchMessage struct {
	Result watchResult `json:"result"`
}

// Watch calls fn for each change of keys with the prefix, beginning at
// revision from, until ctx is done, fn fails or the watch ends. It always
// returns an error. Changes of one transaction share a revision, so a caller
// that watches again from the last revision seen may get some changes twice.
func (c *Client) Watch(ctx context.Context, prefix string, from Revision, fn func(Event) error) error {
	message := watchRequest{watchCreate{prefixStart(prefix), prefixEnd(prefix), int64(from)}}
	body, err := json.Marshal(message)
	if err != nil {
		return peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(c.cfg.WatchIdle, cancel)
	defer idle.Stop()
	n := c.preferred.Load()
	c.counts.watch.Add(1)
	resp, failure := c.post(ctx, c.cfg.Addresses[n], "/v3/watch", body)
	if failure != nil {
		c.preferred.Store((n + 1) % int64(len(c.cfg.Addresses)))
		return failure
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	for {
		var m watchMessage
		if err := decoder.Decode(&m); err != nil {
			return watchFailure(fmt.Errorf("%w: %w", ErrWatchEnded, err))
		}
		idle.Reset(c.cfg.WatchIdle)
		if err := m.Result.deliver(from, fn); err != nil {
			return err
		}
	}
}

// deliver calls fn for each event of the message, or returns why the watch ends.
func (r watchResult) deliver(from Revision, fn func(Event) error) error {
	switch {
	case r.CompactRevision > 0:
		return watchFailure(fmt.Errorf("%w: oldest revision is %d", ErrCompacted, r.CompactRevision))
	case r.Canceled:
		return watchFailure(ErrWatchEnded)
	case r.Created && Revision(r.Header.Revision)+1 < from:
		return watchFailure(fmt.Errorf("%w: revision is %d, watch from %d", ErrRewound, r.Header.Revision, from))
	}
	for _, e := range r.Events {
		if err := fn(Event{e.KV.entry(), e.Type == "DELETE"}); err != nil {
			return err
		}
	}
	return nil
}

// watchFailure returns the Failure of a watch. A watch writes nothing, so its
// verdict is NotRun.
func watchFailure(err error) *peridotusher.Failure {
	return peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, err)
}
