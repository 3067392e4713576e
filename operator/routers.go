package operator

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

// addressWorkers is the maximum number of concurrent address queries to other routers.
const addressWorkers = 32

// routersBody lists all routers that the answering router knows.
type routersBody struct {
	Routers []routerBody `json:"routers"`
}

type routerBody struct {
	Router  string `json:"router"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Address string `json:"address,omitempty"` // operator address, empty if unknown
}

func (s *Server) handleRouters(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, routersBody{Routers: s.routers(r.Context())})
}

// routers returns all members with their operator addresses, which it queries concurrently.
func (s *Server) routers(ctx context.Context) []routerBody {
	members := s.Members.All()
	list := make([]routerBody, len(members))
	var group errgroup.Group
	group.SetLimit(addressWorkers)
	for i, m := range members {
		group.Go(func() error {
			list[i] = routerBody{Router: string(m.ID()), Zone: string(m.Zone()), State: m.State().String(), Address: s.addressOf(ctx, m)}
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
	return list
}

func (s *Server) addressOf(ctx context.Context, m peridotusher.Member) string {
	if m.ID() == s.Self {
		return s.address()
	}
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	address, err := s.Peers.OperatorAddress(ctx, m.ID())
	if err != nil {
		return ""
	}
	return address
}

func (s *Server) address() string {
	if s.Address == "" {
		return s.Listener.Addr().String()
	}
	return s.Address
}
