package peridotusher

import (
	"math"
	"sync"
	"time"
)

// Ledger counts the permits of the engines that a router owns and keeps the
// loads that other owners report of theirs.
type Ledger struct {
	mu     sync.Mutex
	owned  map[EngineID]*engineLedger
	remote map[EngineID]remoteLoad
}

// engineLedger holds the permits of one owned engine.
type engineLedger struct {
	model   string
	work    int
	permits map[PermitID]heldPermit
}

// heldPermit is one permit that has not been returned.
type heldPermit struct {
	work    int
	expires time.Time
}

// remoteLoad is another owner's count of one of its engines.
type remoteLoad struct {
	load  EngineLoad
	since time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{owned: map[EngineID]*engineLedger{}, remote: map[EngineID]remoteLoad{}}
}

// Room describes what bounds one engine's load.
type Room struct {
	Bound     float64    // multiple of the mean load
	Slots     int        // work units that the engine can run at once
	Engines   []EngineID // live engines that serve the same model
	Unbounded bool       // set by the placements that bound nothing
}

// Admit records a permit if the engine's load stays within the bound and the
// engine's slots, and returns whether it did.
func (l *Ledger) Admit(now time.Time, id PermitID, ask Ask, expires time.Time, room Room) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now, ask.Engine)
	work := ask.Request.Work
	load := l.work(ask.Engine)
	if !l.fits(load, work, room) {
		return false
	}
	entry := l.entry(ask.Engine, ask.Request.Model)
	entry.permits[id] = heldPermit{work: work, expires: expires}
	entry.work += work
	return true
}

// Adopt records a permit that a former owner gave. It is counted even beyond
// the bound, because its request is already running.
func (l *Ledger) Adopt(h HeldPermit, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entry(h.Ask.Engine, h.Ask.Request.Model)
	if _, known := entry.permits[h.Permit]; known {
		return
	}
	entry.permits[h.Permit] = heldPermit{work: h.Ask.Request.Work, expires: expires}
	entry.work += h.Ask.Request.Work
}

// Return ends a permit. A permit that is unknown or already returned is
// ignored; Return reports whether it was known.
func (l *Ledger) Return(engine EngineID, id PermitID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.owned[engine]
	if !ok {
		return false
	}
	return entry.remove(id)
}

// SetRemote records the loads that another owner counts. A load of an engine
// with permits of this router's own is ignored.
func (l *Ledger) SetRemote(now time.Time, loads []EngineLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, load := range loads {
		if entry, ok := l.owned[load.Engine]; ok && len(entry.permits) > 0 {
			continue
		}
		l.remote[load.Engine] = remoteLoad{load: load, since: now.Add(-load.Age)}
	}
}

// Loads returns the loads of the engines that hold permits of this router's.
func (l *Ledger) Loads() []EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := make([]EngineLoad, 0, len(l.owned))
	for id, entry := range l.owned {
		loads = append(loads, EngineLoad{Engine: id, Model: entry.model, Work: entry.work, Permits: len(entry.permits)})
	}
	return loads
}

// Work returns the engine's outstanding work as far as this router knows.
func (l *Ledger) Work(engine EngineID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work(engine)
}

// Fits returns whether the engine has room for the work, by this router's
// own and reported counts.
func (l *Ledger) Fits(engine EngineID, work int, room Room) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fits(l.work(engine), work, room)
}

func (l *Ledger) fits(load, work int, room Room) bool {
	if room.Unbounded {
		return true
	}
	return load+work <= room.Slots && load < l.limit(work, room)
}

// limit returns the load that an engine has to be below to get the work. There
// is always an engine below it, because some engine is at most at the mean.
func (l *Ledger) limit(work int, room Room) int {
	total := work
	for _, id := range room.Engines {
		total += l.work(id)
	}
	mean := float64(total) / float64(max(len(room.Engines), 1))
	return int(math.Ceil(room.Bound * mean))
}

func (l *Ledger) work(engine EngineID) int {
	if entry, ok := l.owned[engine]; ok {
		return entry.work
	}
	return l.remote[engine].load.Work
}

func (l *Ledger) entry(engine EngineID, model string) *engineLedger {
	entry, ok := l.owned[engine]
	if !ok {
		entry = &engineLedger{model: model, permits: map[PermitID]heldPermit{}}
		l.owned[engine] = entry
		delete(l.remote, engine)
	}
	return entry
}

// expire removes the engine's permits whose ingress fell silent.
func (l *Ledger) expire(now time.Time, engine EngineID) {
	entry, ok := l.owned[engine]
	if !ok {
		return
	}
	for id, p := range entry.permits {
		if now.After(p.expires) {
			entry.remove(id)
		}
	}
}

func (e *engineLedger) remove(id PermitID) bool {
	p, ok := e.permits[id]
	if !ok {
		return false
	}
	e.work -= p.work
	delete(e.permits, id)
	return true
}
