package peridotusher

import (
	"math"
	"sync"
	"time"
)

const (
	// takeoverPeriod is how long a new owner admits conservatively.
	takeoverPeriod = 2 * time.Second
	// maxRemoteLoadAge is the age from which another owner's count does not raise the total.
	maxRemoteLoadAge = 5 * time.Second
	// remainingWorkShare is the part of the other owners' work that is taken to be there
	// still; the rest may have ended since they told it.
	remainingWorkShare = 0.9
)

// Ledger counts the permits of the engines that a router owns and keeps the
// loads that other owners report of theirs.
type Ledger struct {
	mu     sync.Mutex
	owned  map[EngineID]*engineLedger
	remote map[EngineID]remoteLoad
	totals totalWindow
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

// LoadLimits describes what bounds one engine's load.
type LoadLimits struct {
	Bound     float64    // multiple of the mean load
	Slots     int        // work units that the engine can run at once
	Engines   []EngineID // live engines that serve the same model
	Unbounded bool       // set by the placements that bound nothing
}

// Admit records a permit if the engine's load stays within the bound and the
// engine's slots, and returns whether it did.
func (l *Ledger) Admit(now time.Time, id PermitID, ask Ask, expires time.Time, room LoadLimits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.ownedEntry(now, ask.Engine, ask.Request.Model)
	entry.expire(now)
	if !l.fits(now, ask.Engine, ask.Request.Work, room) {
		return false
	}
	entry.add(now, id, permitRecord{work: ask.Request.Work, ingress: ask.Ingress, granted: now, expires: expires})
	return true
}

// Adopt records or renews a permit that an ingress says it holds. It is
// counted even beyond the bound, because its request is already running.
func (l *Ledger) Adopt(now time.Time, h HeldPermit, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.ownedEntry(now, h.Ask.Engine, h.Ask.Request.Model)
	if p, known := entry.permits[h.Permit]; known {
		p.expires = expires
		entry.permits[h.Permit] = p
		return
	}
	if entry.wasReleased(h.Permit) {
		return
	}
	entry.add(now, h.Permit, permitRecord{work: h.Ask.Request.Work, ingress: h.Ask.Ingress, granted: now, expires: expires})
}

// Retain ends the ingress's permits that it no longer holds, except those
// granted after the time.
func (l *Ledger) Retain(now time.Time, ingress RouterID, held map[PermitID]bool, before time.Time) []EngineID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var freed []EngineID
	for engine, entry := range l.owned {
		for id, p := range entry.permits {
			if p.ingress == ingress && !held[id] && p.granted.Before(before) {
				entry.remove(now, id)
				freed = append(freed, engine)
			}
		}
	}
	return freed
}

// Return ends a permit and returns how long it was out and whether it was
// known. A permit that is unknown or already returned is ignored.
func (l *Ledger) Return(now time.Time, engine EngineID, id PermitID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.owned[engine]
	if !ok {
		return 0, false
	}
	entry.recordReleased(id)
	held := now.Sub(entry.permits[id].granted)
	return held, entry.remove(now, id)
}

// SetReported corrects an owned engine's load by the engine's own report: work
// there that no permit explains is counted as well.
func (l *Ledger) SetReported(now time.Time, engine EngineID, report EngineReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.owned[engine]; ok {
		entry.applyReport(report)
		entry.expire(now)
	}
}

// Hold lets the engine get no permit until the time.
func (l *Ledger) Hold(engine EngineID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.owned[engine]; ok {
		entry.suspendedUntil = until
	}
}

// Held returns for how long the engine gets no permit, zero if it does.
func (l *Ledger) Held(now time.Time, engine EngineID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.owned[engine]
	if !ok {
		return 0
	}
	return max(0, entry.suspendedUntil.Sub(now))
}

// SetRemote records the loads that other owners count. The load of an engine
// that this router owns is ignored, as is a count older than the known one.
func (l *Ledger) SetRemote(now time.Time, loads []EngineLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, load := range loads {
		if entry, ok := l.owned[load.Engine]; ok && entry.owned {
			continue
		}
		since := now.Add(-load.Age)
		if old, ok := l.remote[load.Engine]; ok && since.Before(old.since) {
			continue
		}
		l.remote[load.Engine] = remoteLoad{load: load, since: since}
	}
}

// Take makes this router the engine's owner. It does nothing if it is already.
func (l *Ledger) Take(now time.Time, engine EngineID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownedEntry(now, engine, "")
}

// SetOwned tells which engines this router owns. The counts of others are
// dropped once their permits have ended.
func (l *Ledger) SetOwned(now time.Time, owns func(EngineID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.owned {
		entry.expire(now)
		entry.owned = owns(id)
		if !entry.owned && len(entry.permits) == 0 {
			delete(l.owned, id)
		}
	}
}

// Sample records the other owners' total for the conservative estimate.
func (l *Ledger) Sample(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for id, r := range l.remote {
		if _, ok := l.owned[id]; !ok && now.Sub(r.since) < maxRemoteLoadAge {
			total += r.load.Work
		}
	}
	l.totals.add(now, total)
}

// Loads returns the loads of the engines that this router owns.
func (l *Ledger) Loads() []EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := make([]EngineLoad, 0, len(l.owned))
	for id, entry := range l.owned {
		if entry.owned {
			loads = append(loads, EngineLoad{Engine: id, Model: entry.model, Work: entry.load(), Permits: len(entry.permits)})
		}
	}
	return loads
}

// News returns the least works of the engines that this router owns, as told
// to others.
func (l *Ledger) News() []EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := make([]EngineLoad, 0, len(l.owned))
	for id, entry := range l.owned {
		if entry.owned {
			loads = append(loads, EngineLoad{Engine: id, Work: entry.minWork()})
		}
	}
	return loads
}

// Work returns the engine's outstanding work as far as this router knows.
func (l *Ledger) Work(engine EngineID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work(engine)
}

// Works returns the outstanding work of each engine as far as it is known.
func (l *Ledger) Works(engines []EngineID) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	works := make([]int, len(engines))
	for i, id := range engines {
		works[i] = l.work(id)
	}
	return works
}

// Fits returns whether the engine has room for the work, by this router's
// own and reported counts.
func (l *Ledger) Fits(now time.Time, engine EngineID, work int, room LoadLimits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fits(now, engine, work, room)
}

// fits reports whether the load before the work is below the limit. There is
// always such an engine, because some engine is at most at the mean.
func (l *Ledger) fits(now time.Time, engine EngineID, work int, room LoadLimits) bool {
	if room.Unbounded {
		return true
	}
	load := l.work(engine)
	limit := l.limit(now, engine, work, room)
	entry, ok := l.owned[engine]
	if ok && now.Before(entry.suspendedUntil) {
		return false
	}
	if ok && now.Before(entry.formerWorkUntil) {
		load = max(load, entry.formerWork)
		limit = max(limit-1, 1)
	}
	return load+work <= room.Slots && load < limit
}

// limit returns the load that an engine has to be below to get the work. The
// engine's own load counts in full and that of the others at its least. Were
// the engine's load counted at its least too, work that no permit explains
// could keep every engine at the limit. A load that is too high by some units
// raises the limit by less than that, so it admits nothing beyond the bound.
func (l *Ledger) limit(now time.Time, engine EngineID, work int, room LoadLimits) int {
	own, others := work+l.work(engine), 0
	for _, id := range room.Engines {
		if id == engine {
			continue
		}
		if entry, ok := l.owned[id]; ok {
			own += entry.minWork()
			continue
		}
		if r, ok := l.remote[id]; ok && now.Sub(r.since) < maxRemoteLoadAge {
			others += r.load.Work
		}
	}
	total := float64(own) + remainingWorkShare*float64(others)*l.totals.lowestShare()
	mean := total / float64(max(len(room.Engines), 1))
	return int(math.Ceil(room.Bound * mean))
}

func (l *Ledger) work(engine EngineID) int {
	if entry, ok := l.owned[engine]; ok && entry.owned {
		return entry.load()
	}
	return l.remote[engine].load.Work
}

// ownedEntry returns the engine's permits. A router that had none takes the engine
// over from an owner whose last count it knows.
func (l *Ledger) ownedEntry(now time.Time, engine EngineID, model string) *engineLedger {
	entry, ok := l.owned[engine]
	if !ok {
		entry = newEngineLedger(model)
		l.owned[engine] = entry
	}
	if !entry.owned {
		entry.owned = true
		entry.formerWork = l.remote[engine].load.Work
		entry.formerWorkUntil = now.Add(takeoverPeriod)
		delete(l.remote, engine)
	}
	return entry
}
