package operator

import (
	"math"
	"net/http"

	"peridotusher.example/peridotusher"
)

// statusBody holds one router's view of the fleet.
type statusBody struct {
	Router   string       `json:"router"`
	Zone     string       `json:"zone"`
	Uptime   float64      `json:"uptime_seconds"`
	Revision uint64       `json:"revision"`
	Members  uint64       `json:"members_version"`
	InFlight int          `json:"in_flight"`
	Routers  []memberBody `json:"members"`
	Engines  []engineBody `json:"engines"`
}

// memberBody is a member of the fleet as the answering router sees it.
type memberBody struct {
	Router   string `json:"router"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision,omitempty"` // revision of the configuration that it last reported
}

// engineBody is a model engine as the answering router sees it.
type engineBody struct {
	Engine  string  `json:"engine"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Owner   string  `json:"owner"`
	Deputy  string  `json:"deputy,omitempty"`
	Work    int     `json:"work"`  // outstanding work units
	Limit   int     `json:"limit"` // maximum work that the load bound allows at present
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.status())
}

func (s *Server) status() statusBody {
	body := statusBody{
		Router:  string(s.Self),
		Zone:    string(s.Zone),
		Uptime:  s.Metrics.clock.Now().Sub(s.Started).Seconds(),
		Members: s.Members.Version(),
	}
	if s.InFlight != nil {
		body.InFlight = s.InFlight()
	}
	if doc := s.Document(); doc != nil {
		body.Revision = doc.Revision()
	}
	states := s.Peers.PeerStates()
	for _, m := range s.Members.All() {
		member := memberBody{Router: string(m.ID()), Zone: string(m.Zone()), State: m.State().String(), Revision: states[m.ID()].Revision}
		if m.ID() == s.Self {
			member.Revision = body.Revision
		}
		body.Routers = append(body.Routers, member)
	}
	for _, e := range s.Engines.All() {
		body.Engines = append(body.Engines, s.engineStatus(e))
	}
	return body
}

func (s *Server) engineStatus(e peridotusher.Engine) engineBody {
	owner, _ := s.Members.OwnerOf(e.ID(), e.Zone())
	deputy, _ := s.Members.DeputyOf(e.ID(), e.Zone())
	body := engineBody{
		Engine: string(e.ID()),
		Zone:   string(e.Zone()),
		State:  e.State().String(),
		Weight: e.Weight(),
		Owner:  string(owner),
		Deputy: string(deputy),
		Work:   s.Ledger.Work(e.ID()),
	}
	report, ok := e.Report()
	if !ok || len(report.Versions) == 0 {
		return body
	}
	body.Model = report.Versions[0].Model
	body.Version = report.Versions[0].Version
	body.Limit = s.workLimit(body.Model)
	return body
}

// workLimit returns the maximum work of one engine at the present load of its model: the policy's
// bound times the mean work of the model's live engines, with one more request counted.
func (s *Server) workLimit(model string) int {
	doc := s.Document()
	if doc == nil {
		return 0
	}
	total, n := 0, 0
	for _, e := range s.Engines.All() {
		if e.State() == peridotusher.EngineLive && e.Serves(model, "") {
			total += s.Ledger.Work(e.ID())
			n++
		}
	}
	return int(math.Ceil(doc.Policy().Bound() * float64(total+1) / float64(max(n, 1))))
}
