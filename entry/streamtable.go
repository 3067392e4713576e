package entry

import (
	"sync"

	"peridotusher.example/peridotusher"
)

// streamKey identifies an engine's stream by the engine and its stream id.
type streamKey struct {
	engine peridotusher.EngineID
	stream string
}

// streamTable holds the answer streams that this router currently sends to clients.
type streamTable struct {
	mu      sync.Mutex
	streams map[streamKey]*chatStream
}

func (t *streamTable) add(key streamKey, s *chatStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams == nil {
		t.streams = map[streamKey]*chatStream{}
	}
	t.streams[key] = s
}

// remove removes the stream, unless its key belongs to another stream by now.
func (t *streamTable) remove(key streamKey, s *chatStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams[key] == s {
		delete(t.streams, key)
	}
}

// detach stops sending a stream that its client has resumed on another
// connection. The engine keeps generating it.
func (t *streamTable) detach(engine peridotusher.EngineID, stream string) {
	key := streamKey{engine, stream}
	t.mu.Lock()
	s := t.streams[key]
	delete(t.streams, key)
	t.mu.Unlock()
	if s != nil {
		s.detach()
	}
}
