package entry

import (
	"sync"

	"peridotusher.example/peridotusher"
)

// streamKey names a stream of an engine.
type streamKey struct {
	engine peridotusher.EngineID
	stream string
}

// streamTable holds the streams that this router sends to callers.
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

// remove forgets the stream unless another one has taken its key.
func (t *streamTable) remove(key streamKey, s *chatStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams[key] == s {
		delete(t.streams, key)
	}
}

// giveUp ends the sending of a stream whose caller has come back elsewhere.
// The engine goes on with it.
func (t *streamTable) giveUp(engine peridotusher.EngineID, stream string) {
	key := streamKey{engine, stream}
	t.mu.Lock()
	s := t.streams[key]
	delete(t.streams, key)
	t.mu.Unlock()
	if s != nil {
		s.giveUp()
	}
}
