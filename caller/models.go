package caller

import (
	"net/http"

	"peridotusher.example/peridotusher"
)

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models of the configuration.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	doc := s.Document()
	if _, err := s.authenticate(r, doc); err != nil {
		writeFailure(w, peridotusher.AsFailure(err))
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, m := range doc.Models() {
		list.Data = append(list.Data, modelObject{ID: m.Name(), Object: "model", OwnedBy: "peridotusher"})
	}
	writeJSON(w, http.StatusOK, list)
}
