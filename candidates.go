package peridotusher

import (
	"sync"

	"peridotusher.example/peridotusher/document"
)

// maxCandidateLists bounds the candidate lists cached for one state of the engines.
const maxCandidateLists = 256

// candidates are the engines that may serve one kind of request, sorted by ID. A
// list is shared between requests and immutable.
type candidates struct {
	engines []Engine
	ids     []EngineID
	byID    map[EngineID]bool
}

// serves reports whether the engine is one of the candidates.
func (c *candidates) serves(engine EngineID) bool { return c.byID[engine] }

// candidateKey identifies a list of candidates by what it depends on.
type candidateKey struct {
	rule    *document.Rule
	model   string
	version string
}

// candidateCache caches lists of candidates until the engines or the
// configuration change.
type candidateCache struct {
	mu             sync.Mutex
	doc            *document.Document
	enginesVersion uint64
	lists          map[candidateKey]*candidates
}

// get returns the cached list of the key. It drops the lists of another
// configuration or state of the engines, and all lists when there are too many.
func (c *candidateCache) get(doc *document.Document, engines uint64, key candidateKey) (*candidates, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc != doc || c.enginesVersion != engines || len(c.lists) >= maxCandidateLists {
		c.doc, c.enginesVersion = doc, engines
		c.lists = map[candidateKey]*candidates{}
	}
	list, ok := c.lists[key]
	return list, ok
}

func (c *candidateCache) put(doc *document.Document, engines uint64, key candidateKey, list *candidates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc == doc && c.enginesVersion == engines {
		c.lists[key] = list
	}
}

// candidatesFor returns the engines that may serve the request, or an error that
// says why there is none.
func (p *Placer) candidatesFor(doc *document.Document, req Request) (*candidates, error) {
	key := candidateKey{matchingRule(doc, req), req.Model, req.Version}
	version := p.Engines.Version()
	if list, ok := p.cache.get(doc, version, key); ok {
		return list, nil
	}
	list := p.selectCandidates(key)
	if len(list.engines) == 0 {
		return nil, Fail(NotRun, CauseNoEndpoint, "no live model engine may serve model %q for organisation %q", req.Model, req.Organisation)
	}
	p.cache.put(doc, version, key, list)
	return list, nil
}

func (p *Placer) selectCandidates(key candidateKey) *candidates {
	allowed := p.Engines.Select(func(e Engine) bool {
		if e.State() != EngineLive {
			return false
		}
		return key.rule == nil || key.rule.Allows(string(e.ID()), string(e.Zone()))
	})
	ready := enginesServing(allowed, key.model, key.version)
	if len(ready) == 0 {
		ready = enginesServing(allowed, key.model, "")
	}
	list := &candidates{engines: ready, byID: make(map[EngineID]bool, len(ready))}
	for _, e := range ready {
		list.ids = append(list.ids, e.ID())
		list.byID[e.ID()] = true
	}
	return list
}

func enginesServing(engines []Engine, model, version string) []Engine {
	var ready []Engine
	for _, e := range engines {
		if e.Serves(model, version) {
			ready = append(ready, e)
		}
	}
	return ready
}
