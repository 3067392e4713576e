package operator

import (
	"net/http"

	"peridotusher.example/peridotusher"
)

// drainBody names the router that accepted a drain, and the engine if one is drained.
type drainBody struct {
	Router string `json:"router"`
	Engine string `json:"engine,omitempty"`
}

// handleDrain starts this router's graceful shutdown.
func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusAccepted, drainBody{Router: string(s.Self)})
	s.Stop()
}

// handleDrainEngine marks the engine as leaving, so that this router's rankings and the
// permits that it grants exclude it, until the platform's host list no longer has the engine.
func (s *Server) handleDrainEngine(w http.ResponseWriter, r *http.Request) {
	id := peridotusher.EngineID(r.PathValue("engine"))
	if _, ok := s.Engines.Get(id); !ok {
		writeError(w, http.StatusNotFound, "no engine "+string(id))
		return
	}
	s.Engines.SetState(id, peridotusher.EngineLeaving)
	writeJSON(w, http.StatusAccepted, drainBody{Router: string(s.Self), Engine: string(id)})
}
