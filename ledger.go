package peridotusher

import (
	"math"
	"sync"
	"time"
)

const (
	// takeoverPeriod is how long a new owner of an engine admits conservatively.
	takeoverPeriod = 2 * time.Second
	// maxRemoteLoadAge is the age from which another owner's count is left out of the total.
	maxRemoteLoadAge = 5 * time.Second
	// remainingWorkShare is the part of the other owners' reported work that is assumed
	// to be still running; the rest may have ended since the report.
	remainingWorkShare = 0.9
)

// Ledger counts the permits of the engines that a router owns and records the
// loads that other owners report for their engines.
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

// LoadLimits describes the limits of one engine's load.
type LoadLimits struct {
	Bound     float64    // multiple of the mean load
	Slots     int        // work units that the engine can run at once
	Engines   []EngineID // live engines that serve the same model
	Unbounded bool       // set for placement policies without a load bound
	// RequestRate returns the number of requests a second that an engine accepts, if it limits
	// them; nil means that none does.
	RequestRate func(EngineID) (rate float64, limited bool)
}

// Admit records a permit if the engine's load stays within the bound and the
// engine's slots, and the engine's request rate allows it, and reports whether it did.
func (l *Ledger) Admit(now time.Time, id PermitID, ask Ask, expires time.Time, limits LoadLimits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.ownedEntry(now, ask.Engine, ask.Request.Model)
	entry.expire(now)
	if !l.fits(now, ask.Engine, ask.Request.Work, limits) {
		return false
	}
	entry.add(now, id, permitRecord{work: ask.Request.Work, ingress: ask.Ingress, granted: now, expires: expires})
	entry.rate.take()
	return true
}

// Adopt records or renews a permit that an ingress reports. It is counted even
// beyond the bound, because its request is already running. A permit that was
// released before is ignored.
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

// Retain removes the ingress's permits that it no longer holds, except those granted
// after the given time. It returns the engines of the removed permits.
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

// Release removes a permit and returns how long it was held and whether it was known.
// A permit that is unknown or already released is ignored.
func (l *Ledger) Release(now time.Time, engine EngineID, id PermitID) (time.Duration, bool) {
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
// that no permit accounts for is counted as well.
func (l *Ledger) SetReported(now time.Time, engine EngineID, report EngineReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.owned[engine]; ok {
		entry.applyReport(report)
		entry.expire(now)
	}
}

// SuspendUntil stops new permits for the engine until the given time.
func (l *Ledger) SuspendUntil(engine EngineID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.owned[engine]; ok {
		entry.suspendedUntil = until
	}
}

// SuspendedFor returns how long the engine gets no new permits yet, zero if it gets them.
func (l *Ledger) SuspendedFor(now time.Time, engine EngineID) time.Duration {
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

// TakeOwnership makes this router the engine's owner, if it is not already.
func (l *Ledger) TakeOwnership(now time.Time, engine EngineID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownedEntry(now, engine, "")
}

// SetOwned sets which engines this router owns. The counts of an engine that it no
// longer owns are kept until the engine's permits have ended.
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

// Sample records the total load of the other owners' engines, whose recent minimum
// enters the limit.
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

// MinLoads returns the minimum work of the engines that this router owns, for the
// messages to other routers.
func (l *Ledger) MinLoads() []EngineLoad {
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

// Work returns the engine's outstanding work as known to this router.
func (l *Ledger) Work(engine EngineID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work(engine)
}

// Works returns the outstanding work of each engine as known to this router.
func (l *Ledger) Works(engines []EngineID) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	works := make([]int, len(engines))
	for i, id := range engines {
		works[i] = l.work(id)
	}
	return works
}

// Fits reports whether the engine has capacity for the work, by this router's own
// counts and those reported to it.
func (l *Ledger) Fits(now time.Time, engine EngineID, work int, limits LoadLimits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fits(now, engine, work, limits)
}

// fits reports whether the engine's request rate allows a request, the load before the
// work is below the limit and the load with it is within the slots. Some engine is always below the limit, because some
// engine has at most the mean load.
func (l *Ledger) fits(now time.Time, engine EngineID, work int, limits LoadLimits) bool {
	if l.rateDelay(now, engine, 1, limits) > 0 {
		return false
	}
	if limits.Unbounded {
		return true
	}
	load := l.work(engine)
	limit := l.limit(now, engine, work, limits)
	entry, ok := l.owned[engine]
	if ok && now.Before(entry.suspendedUntil) {
		return false
	}
	if ok && now.Before(entry.formerWorkUntil) {
		load = max(load, entry.formerWork)
		limit = max(limit-1, 1)
	}
	return load+work <= limits.Slots && load < limit
}

// RateDelay returns the time until an owned engine's request rate allows the n-th request from
// now on; zero if the engine does not limit its requests.
func (l *Ledger) RateDelay(now time.Time, engine EngineID, n int, limits LoadLimits) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rateDelay(now, engine, n, limits)
}

func (l *Ledger) rateDelay(now time.Time, engine EngineID, n int, limits LoadLimits) time.Duration {
	entry, owned := l.owned[engine]
	if !owned || limits.RequestRate == nil {
		return 0
	}
	rate, limited := limits.RequestRate(engine)
	if !limited {
		entry.rate = requestRate{}
		return 0
	}
	return entry.rate.delay(now, rate, n)
}

// limit returns the load below which an engine may get the work: the bound times
// the mean load. The engine's own load counts in full, that of the others at its
// minimum. If the engine's own load counted at its minimum too, work that no
// permit accounts for could keep every engine at the limit. Overestimating a load
// by some units raises the limit by fewer units, so it admits nothing beyond the
// bound.
func (l *Ledger) limit(now time.Time, engine EngineID, work int, limits LoadLimits) int {
	own, others := work+l.work(engine), 0
	for _, id := range limits.Engines {
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
	mean := total / float64(max(len(limits.Engines), 1))
	return int(math.Ceil(limits.Bound * mean))
}

func (l *Ledger) work(engine EngineID) int {
	if entry, ok := l.owned[engine]; ok && entry.owned {
		return entry.load()
	}
	return l.remote[engine].load.Work
}

// ownedEntry returns the engine's entry and makes this router the engine's owner. A
// new owner starts with the former owner's last reported count as a lower limit of
// the load for the takeover period.
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
