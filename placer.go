package peridotusher

import (
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
	Works(engines []EngineID) []int
}

// Placer ranks the engines that may serve a request.
type Placer struct {
	Engines  *Engines
	Loads    LoadView                      // nil ranks requests without a chat by hash alone
	Policies map[document.Placement]Policy // baselines to compare the default with

	cache candidateCache
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
//
// A chat goes by its own hash. A request without a chat goes to the emptiest
// engine if it is small; a large one goes by its class, so that large requests
// share few engines and the chats learn to live on the others.
func (p *Placer) Ranking(doc *document.Document, req Request) ([]Engine, error) {
	ready, err := p.candidatesFor(doc, req)
	if err != nil {
		return nil, err
	}
	if policy, ok := p.Policies[doc.Policy().Placement()]; ok {
		return policy.Order(req, ready.engines), nil
	}
	if req.Chat == "" && req.Work > 1 {
		return p.packByClass(doc.Policy().Bound(), req, ready), nil
	}
	if req.Chat == "" {
		return p.leastLoadedFirst(string(req.ID), ready), nil
	}
	return RankEngines(string(req.Chat), ready.engines), nil
}

func matchingRule(doc *document.Document, req Request) *document.Rule {
	for _, r := range doc.Rules() {
		if r.Matches(req.Organisation, req.Model) {
			return r
		}
	}
	return nil
}
