package operator

import (
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
)

// burnBody holds one router's counts of requests that met or missed their service-level objective.
type burnBody struct {
	Router  string        `json:"router"`
	Started time.Time     `json:"started"`
	At      time.Time     `json:"at"`
	Rows    []burnRowBody `json:"rows"`
}

type burnRowBody struct {
	Organisation string          `json:"organisation,omitempty"`
	Class        string          `json:"class"`
	Objective    float64         `json:"objective"`
	Windows      []burnCountBody `json:"windows"`
	History      []burnCountBody `json:"history,omitempty"`
}

type burnCountBody struct {
	Requests float64 `json:"requests"`
	Bad      float64 `json:"bad"`
	Value    float64 `json:"worth"`
	BadValue float64 `json:"bad_worth"`
}

func (s *Server) handleBurn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, burnToWire(string(s.Self), s.Burn.Report()))
}

func burnToWire(router string, r peridotusher.BurnReport) burnBody {
	body := burnBody{Router: router, Started: r.Started, At: r.At}
	for _, row := range r.Rows {
		body.Rows = append(body.Rows, burnRowBody{
			Organisation: row.Key.Organisation,
			Class:        row.Key.Class,
			Objective:    row.Objective,
			Windows:      countsToWire(row.Windows),
			History:      countsToWire(row.History),
		})
	}
	return body
}

func burnFromWire(body burnBody) peridotusher.BurnReport {
	r := peridotusher.BurnReport{Started: body.Started, At: body.At}
	for _, row := range body.Rows {
		r.Rows = append(r.Rows, peridotusher.BurnRow{
			Key:       peridotusher.BurnKey{Organisation: row.Organisation, Class: row.Class},
			Objective: row.Objective,
			Windows:   countsFromWire(row.Windows),
			History:   countsFromWire(row.History),
		})
	}
	return r
}

func countsToWire(counts []peridotusher.BurnCount) []burnCountBody {
	var bodies []burnCountBody
	for _, c := range counts {
		bodies = append(bodies, burnCountBody(c))
	}
	return bodies
}

func countsFromWire(bodies []burnCountBody) []peridotusher.BurnCount {
	var counts []peridotusher.BurnCount
	for _, b := range bodies {
		counts = append(counts, peridotusher.BurnCount(b))
	}
	return counts
}
