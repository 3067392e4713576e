package standin

import (
	"encoding/json"
	"net/http"
)

// The wire types of watches follow.
type storeWatch struct {
	Create struct {
		storeRange
		StartRevision int64 `json:"start_revision,string"`
	} `json:"create_request"`
}

type storeEvent struct {
	Type string        `json:"type"`
	KV   storeKeyValue `json:"kv"`
}

type storeWatchResult struct {
	Header          storeHeader  `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []storeEvent `json:"events,omitempty"`
}

type storeWatchMessage struct {
	Result storeWatchResult `json:"result"`
}

// serveWatch streams changes until the caller disconnects or the store ends the watch.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var message storeWatch
	if !s.admit(w, r, &message, s.reads, func(c *StoreCalls) { c.Watch++ }) {
		return
	}
	s.mu.Lock()
	epoch, revision, compacted := s.epoch, s.state.revision, s.state.compacted
	s.mu.Unlock()
	from := message.Create.StartRevision
	if from == 0 {
		from = revision + 1
	}
	send := storeWatchSender(w)
	send(storeWatchResult{Header: storeHeader{revision}, Created: true})
	if from < compacted {
		send(storeWatchResult{Header: storeHeader{revision}, Canceled: true, CompactRevision: compacted})
		return
	}
	for {
		s.mu.Lock()
		ended, changed := s.epoch != epoch, s.changed
		revision = s.state.revision
		events := s.state.since(from, message.Create.Key, message.Create.RangeEnd)
		s.mu.Unlock()
		if ended {
			return
		}
		if len(events) > 0 {
			send(storeWatchResult{Header: storeHeader{revision}, Events: events})
		}
		from = max(from, revision+1)
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// storeWatchSender returns a function that sends a message without buffering.
func storeWatchSender(w http.ResponseWriter) func(storeWatchResult) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	return func(result storeWatchResult) {
		// Errors are ignored: when the caller disconnects, the request's context ends.
		_ = encoder.Encode(storeWatchMessage{result})
		_ = controller.Flush()
	}
}
