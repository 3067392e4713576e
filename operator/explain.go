package operator

import (
	"net/http"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

// explainBody describes where a chat is routed and why.
type explainBody struct {
	Router       string         `json:"router"`
	Organisation string         `json:"organisation"`
	Model        string         `json:"model"`
	Class        string         `json:"class"`
	Chat         string         `json:"chat"`
	Version      string         `json:"version"`
	Rule         string         `json:"rule"` // first matching rule, empty if none matches
	Revision     uint64         `json:"revision"`
	Ranking      []rankedBody   `json:"ranking"`
	Excluded     []excludedBody `json:"excluded,omitempty"`
	Refusal      string         `json:"refusal,omitempty"` // error that prevented a ranking
	// PrefixEngine is the engine that the answering router remembers as holding the chat's
	// prefix. The owner of the chat's home engine keeps this.
	PrefixEngine string `json:"placed,omitempty"`
}

// rankedBody is one engine of the ranking, best first.
type rankedBody struct {
	engineBody
	HasCapacity bool `json:"room"` // the work limit allows one more request
}

// excludedBody is an engine that may not serve the chat.
type excludedBody struct {
	Engine string `json:"engine"`
	Reason string `json:"reason"`
}

func (s *Server) handleExplain(w http.ResponseWriter, r *http.Request) {
	doc := s.Document()
	if doc == nil {
		writeError(w, http.StatusServiceUnavailable, "this router has no configuration yet")
		return
	}
	query := r.URL.Query()
	org, ok := doc.Organisation(query.Get("org"))
	if !ok {
		writeError(w, http.StatusNotFound, "no organisation "+query.Get("org"))
		return
	}
	model, ok := doc.Model(query.Get("model"))
	if !ok {
		writeError(w, http.StatusNotFound, "no model "+query.Get("model"))
		return
	}
	className := query.Get("class")
	if className == "" {
		className = org.DefaultClass()
	}
	class, ok := doc.Class(className)
	if !ok {
		writeError(w, http.StatusNotFound, "no class "+className)
		return
	}
	writeJSON(w, http.StatusOK, s.explain(doc, org, model, class, query.Get("chat")))
}

func (s *Server) explain(doc *document.Document, org *document.Organisation, model *document.Model, class *document.Class, chat string) explainBody {
	key := peridotusher.ChatKeyOf(org.Name(), chat)
	req := peridotusher.Request{
		Chat:         key,
		Organisation: org.Name(),
		Model:        model.Name(),
		Version:      s.Placer.Version(model, key),
		Class:        class.Name(),
		Work:         class.Work(),
	}
	body := explainBody{
		Router:       string(s.Self),
		Organisation: org.Name(),
		Model:        model.Name(),
		Class:        class.Name(),
		Chat:         chat,
		Version:      req.Version,
		Rule:         ruleFor(doc, req),
		Revision:     doc.Revision(),
	}
	ranking, err := s.Placer.Ranking(doc, req)
	if err != nil {
		body.Refusal = err.Error()
	}
	if at, known := s.rememberedEngine(key); known {
		body.PrefixEngine = string(at)
	}
	ranked := map[peridotusher.EngineID]bool{}
	for _, e := range ranking {
		ranked[e.ID()] = true
		wire := s.engineStatus(e)
		body.Ranking = append(body.Ranking, rankedBody{engineBody: wire, HasCapacity: wire.Work < wire.Limit})
	}
	for _, e := range s.Engines.All() {
		if !ranked[e.ID()] {
			body.Excluded = append(body.Excluded, excludedBody{Engine: string(e.ID()), Reason: exclusionReason(doc, req, e)})
		}
	}
	return body
}

// rememberedEngine returns the engine that this router remembers for a chat.
func (s *Server) rememberedEngine(chat peridotusher.ChatKey) (peridotusher.EngineID, bool) {
	if s.Placements == nil {
		return "", false
	}
	return s.Placements.Get(chat)
}

// ruleFor returns the name of the first rule that matches the request, empty if none does.
func ruleFor(doc *document.Document, req peridotusher.Request) string {
	for _, r := range doc.Rules() {
		if r.Matches(req.Organisation, req.Model) {
			return r.Name()
		}
	}
	return ""
}

// exclusionReason returns the reason why an engine is not in the ranking.
func exclusionReason(doc *document.Document, req peridotusher.Request, e peridotusher.Engine) string {
	if e.State() != peridotusher.EngineLive {
		return "is " + e.State().String()
	}
	for _, r := range doc.Rules() {
		if !r.Matches(req.Organisation, req.Model) {
			continue
		}
		if !r.Allows(string(e.ID()), string(e.Zone())) {
			return "rule " + r.Name() + " does not allow it"
		}
		break
	}
	if _, reported := e.Report(); !reported {
		return "has not reported its load"
	}
	if !e.Serves(req.Model, "") {
		return "does not serve the model"
	}
	if !e.Serves(req.Model, req.Version) {
		return "does not serve version " + req.Version
	}
	return "has no share of the traffic"
}
