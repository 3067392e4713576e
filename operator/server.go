package operator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the wait for an operator's request header.
const headerTimeout = 5 * time.Second

// Server serves operators.
type Server struct {
	Listener net.Listener
	Metrics  *Metrics
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	httpServer := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	var group errgroup.Group
	group.Go(func() error {
		err := httpServer.Serve(s.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		return httpServer.Close()
	})
	return group.Wait()
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.Metrics.set.WritePrometheus(w)
}
