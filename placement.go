package peridotusher

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Placements records which engine holds a chat's cached prefix, for the chats whose
// home engine this router owns. It is an LRU cache with a bounded number of records.
type Placements struct {
	mu            sync.Mutex
	index         map[uint64]uint32 // record by the hash of the chat
	records       []placement
	engineNames   []EngineID
	engineNumbers map[EngineID]uint32
	newest        uint32
	oldest        uint32
}

// placement is one record, linked in the order of last use. Record zero is unused, so
// that an index of zero means no record.
type placement struct {
	chat   uint64
	engine uint32
	newer  uint32
	older  uint32
}

// NewPlacements returns an empty table.
func NewPlacements() *Placements {
	return &Placements{index: map[uint64]uint32{}, records: make([]placement, 1), engineNumbers: map[EngineID]uint32{}}
}

// Get returns the engine that is recorded as holding the chat's prefix. The engine is
// empty if the record was emptied by Forget.
func (t *Placements) Get(chat ChatKey) (EngineID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[xxhash.Sum64String(string(chat))]
	if !ok {
		return "", false
	}
	t.unlink(i)
	t.linkNewest(i)
	return t.engineNames[t.records[i].engine], true
}

// Set records the engine of a chat. The limit is the largest number of records; with
// zero nothing is recorded.
func (t *Placements) Set(chat ChatKey, engine EngineID, limit int) {
	if limit <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := xxhash.Sum64String(string(chat))
	i, ok := t.index[key]
	switch {
	case ok:
		t.unlink(i)
	case len(t.index) >= limit:
		i = t.oldest
		t.unlink(i)
		delete(t.index, t.records[i].chat)
	default:
		t.records = append(t.records, placement{})
		i = uint32(len(t.records) - 1)
	}
	t.index[key] = i
	t.records[i].chat = key
	t.records[i].engine = t.engineNumber(engine)
	t.linkNewest(i)
}

// Forget empties the chat's record if it names the engine. The record keeps its slot,
// which a later Set reuses.
func (t *Placements) Forget(chat ChatKey, engine EngineID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[xxhash.Sum64String(string(chat))]
	if !ok || t.engineNames[t.records[i].engine] != engine {
		return
	}
	t.records[i].engine = t.engineNumber("")
}

// Len returns the number of records.
func (t *Placements) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.index)
}

func (t *Placements) engineNumber(engine EngineID) uint32 {
	n, ok := t.engineNumbers[engine]
	if !ok {
		n = uint32(len(t.engineNames))
		t.engineNames = append(t.engineNames, engine)
		t.engineNumbers[engine] = n
	}
	return n
}

func (t *Placements) unlink(i uint32) {
	r := t.records[i]
	if r.newer != 0 {
		t.records[r.newer].older = r.older
	} else {
		t.newest = r.older
	}
	if r.older != 0 {
		t.records[r.older].newer = r.newer
	} else {
		t.oldest = r.newer
	}
}

func (t *Placements) linkNewest(i uint32) {
	t.records[i].older = t.newest
	t.records[i].newer = 0
	if t.newest != 0 {
		t.records[t.newest].newer = i
	}
	t.newest = i
	if t.oldest == 0 {
		t.oldest = i
	}
}
