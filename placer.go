package peridotusher

import (
	"peridotusher.example/peridotusher/document"
)

// Policy is a placement policy: it orders the engines that may serve a request, best
// first, and states whether an engine's load is bounded.
type Policy interface {
	Order(req Request, engines []Engine) []Engine
	Bounded() bool
}

// LoadView returns the outstanding work of engines as known to this router.
type LoadView interface {
	Work(engine EngineID) int
	Works(engines []EngineID) []int
}

// Placer ranks the engines that may serve a request.
type Placer struct {
	Engines  *Engines
	Loads    LoadView                      // if nil, requests without a chat are ranked by hash alone
	Policies map[document.Placement]Policy // alternatives to the default, for comparison

	cache candidateCache
}

// Bounded reports whether the configured placement bounds an engine's load.
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
// A chat is ranked by the hash of its key. A request without a chat goes to the
// least loaded engine if its work is one unit. A larger one is ranked by the hash of
// its class, so that large requests share few engines and leave the others to the
// chats.
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
