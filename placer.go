package peridotusher

import (
	"cmp"
	"slices"

	"peridotusher.example/peridotusher/document"
)

// Policy orders the engines that may serve a request, best first.
type Policy interface {
	Order(req Request, engines []Engine) []Engine
	Bounded() bool
}

// LoadView gives the outstanding work of an engine as far as it is known.
type LoadView interface {
	Work(engine EngineID) int
}

// Placer ranks the engines that may serve a request.
type Placer struct {
	Engines  *Engines
	Loads    LoadView                      // nil ranks requests without a chat by hash alone
	Policies map[document.Placement]Policy // baselines to compare the default with
}

// Bounded returns whether the placement in force bounds an engine's load.
func (p *Placer) Bounded(doc *document.Document) bool {
	policy, ok := p.Policies[doc.Policy().Placement()]
	return !ok || policy.Bounded()
}

// Version returns the version of the model that a chat runs on, see
// ActiveVersion.
func (p *Placer) Version(model *document.Model, chat ChatKey) string {
	return ActiveVersion(model, p.Engines.Select(isLive), chat)
}

func isLive(e Engine) bool { return e.State() == EngineLive }

// Ranking returns the engines that may serve the request, best first. The
// error says why there is none.
func (p *Placer) Ranking(doc *document.Document, req Request) ([]Engine, error) {
	ready, err := p.Candidates(doc, req)
	if err != nil {
		return nil, err
	}
	if policy, ok := p.Policies[doc.Policy().Placement()]; ok {
		return policy.Order(req, ready), nil
	}
	if req.Chat == "" {
		return p.emptiestFirst(rankEngines(string(req.ID), ready)), nil
	}
	return rankEngines(string(req.Chat), ready), nil
}

// Candidates returns the engines that may serve the request, by name. The
// error says why there is none.
func (p *Placer) Candidates(doc *document.Document, req Request) ([]Engine, error) {
	rule := matchingRule(doc, req)
	allowed := p.Engines.Select(func(e Engine) bool {
		if e.State() != EngineLive {
			return false
		}
		return rule == nil || rule.Allows(string(e.ID()), string(e.Zone()))
	})
	ready := serving(allowed, req.Model, req.Version)
	if len(ready) == 0 {
		ready = serving(allowed, req.Model, "")
	}
	if len(ready) == 0 {
		return nil, Fail(NotRun, CauseNoEndpoint, "no live model engine may serve model %q for organisation %q", req.Model, req.Organisation)
	}
	return ready, nil
}

func matchingRule(doc *document.Document, req Request) *document.Rule {
	for _, r := range doc.Rules() {
		if r.Matches(req.Organisation, req.Model) {
			return r
		}
	}
	return nil
}

func serving(engines []Engine, model, version string) []Engine {
	var ready []Engine
	for _, e := range engines {
		if e.Serves(model, version) {
			ready = append(ready, e)
		}
	}
	return ready
}

// emptiestFirst orders the engines by load and keeps their order among equals.
func (p *Placer) emptiestFirst(engines []Engine) []Engine {
	if p.Loads == nil {
		return engines
	}
	work := make(map[EngineID]int, len(engines))
	for _, e := range engines {
		work[e.ID()] = p.Loads.Work(e.ID())
	}
	slices.SortStableFunc(engines, func(a, b Engine) int { return cmp.Compare(work[a.ID()], work[b.ID()]) })
	return engines
}

// RankEngines orders the engines for key by weighted rendezvous, best first.
func RankEngines(key string, engines []Engine) []Engine { return rankEngines(key, engines) }

func rankEngines(key string, engines []Engine) []Engine {
	byName := make(map[string]Engine, len(engines))
	weighted := make([]Weighted, 0, len(engines))
	for _, e := range engines {
		byName[string(e.ID())] = e
		weighted = append(weighted, Weighted{Name: string(e.ID()), Weight: e.Weight()})
	}
	ranked := make([]Engine, 0, len(engines))
	for _, name := range Rank(key, weighted) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}
