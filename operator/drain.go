package operator

import (
	"net/http"

	"peridotusher.example/peridotusher"
)

// drainBody says what was told to stop.
type drainBody struct {
	Router string `json:"router"`
	Engine string `json:"engine,omitempty"`
}

// handleDrain begins this router's graceful shutdown.
func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusAccepted, drainBody{Router: string(s.Self)})
	s.Stop()
}

// handleDrainEngine gives the engine no new work from this router's permits
// and rankings. It holds until the platform's list drops the engine.
func (s *Server) handleDrainEngine(w http.ResponseWriter, r *http.Request) {
	id := peridotusher.EngineID(r.PathValue("engine"))
	if _, ok := s.Engines.Get(id); !ok {
		writeError(w, http.StatusNotFound, "no engine "+string(id))
		return
	}
	s.Engines.SetState(id, peridotusher.EngineLeaving)
	writeJSON(w, http.StatusAccepted, drainBody{Router: string(s.Self), Engine: string(id)})
}
