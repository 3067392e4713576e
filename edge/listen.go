package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/tcp"
)

const (
	// readHeaderTimeout limits reading the headers of a request for readiness or metrics.
	readHeaderTimeout = 2 * time.Second
	// writeTimeout limits writing the answer to such a request.
	writeTimeout = 15 * time.Second
)

// listen opens the sockets and starts their servers.
func (r *Router) listen(ctx context.Context, group *errgroup.Group) error {
	s := r.Settings
	cfg := net.ListenConfig{KeepAliveConfig: tcp.KeepAlive(), Control: tcp.Control}
	datagrams, err := net.ListenPacket("udp4", r.node.Self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	sessions, err := cfg.Listen(ctx, "tcp4", r.node.Self.Address)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for sessions"), datagrams.Close())
	}
	group.Go(func() error { return r.node.Run(ctx, datagrams, sessions) })
	clients, err := cfg.Listen(ctx, "tcp4", s.listen.clients)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	group.Go(func() error { return r.proxy.Run(ctx, clients, r.remainingGrace) })
	readinessListener, err := listenForReports(ctx, s.listen.ready)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	group.Go(func() error { return serve(ctx, readinessListener, http.HandlerFunc(r.serveReadiness)) })
	if r.MetricsAddress == "" {
		return nil
	}
	metricsListener, err := listenForReports(ctx, r.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	group.Go(func() error { return serve(ctx, metricsListener, r.metricsHandler()) })
	return nil
}

// listenForReports listens for readers of readiness or metrics. Their connections have no
// TCP_USER_TIMEOUT, since nothing lifts it for a reader that pauses; writeTimeout ends them.
func listenForReports(ctx context.Context, address string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: tcp.KeepAlive()}
	return cfg.Listen(ctx, "tcp4", address)
}

func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve handles requests on a listener until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: time.Minute}
	return httpserve.Until(ctx, server, l, server.Close)
}
