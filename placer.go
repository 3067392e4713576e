package peridotusher

import "peridotusher.example/peridotusher/document"

// Placer ranks the engines that may serve a request.
type Placer struct {
	Engines *Engines
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
	return rankEngines(rankingKey(req), ready), nil
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

// rankingKey returns what a request is placed by: its chat, or itself.
func rankingKey(req Request) string {
	if req.Chat != "" {
		return string(req.Chat)
	}
	return string(req.ID)
}

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
