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
	// maxReportConns is the largest number of connections of their readers to one address.
	maxReportConns = 64
	// reportHeadMemory is the memory in bytes that the heads of their requests may take.
	reportHeadMemory = 8 << 20
	// maxReportHeadBytes is the largest head of such a request.
	maxReportHeadBytes = 16 << 10
)

// listen opens the sockets and starts their servers, except for that of clients, whose listener it returns.
func (r *Router) listen(ctx context.Context, group *errgroup.Group) (clients net.Listener, err error) {
	s := r.Settings
	cfg := net.ListenConfig{KeepAliveConfig: tcp.KeepAlive(), Control: tcp.Control}
	datagrams, err := net.ListenPacket("udp4", r.node.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	sessions, err := cfg.Listen(ctx, "tcp4", r.node.Self.Address)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "listen for sessions"), datagrams.Close())
	}
	group.Go(func() error { return r.node.Run(ctx, datagrams, sessions) })
	readinessListener, err := listenForReports(ctx, s.listen.ready)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness")
	}
	group.Go(func() error { return r.serve(ctx, readinessListener, http.HandlerFunc(r.serveReadiness)) })
	if r.MetricsAddress != "" {
		metricsListener, err := listenForReports(ctx, r.MetricsAddress)
		if err != nil {
			return nil, errors.Wrap(err, "listen for metrics")
		}
		group.Go(func() error { return r.serve(ctx, metricsListener, r.metricsHandler()) })
	}
	clients, err = cfg.Listen(ctx, "tcp4", s.listen.clients)
	return clients, errors.Wrap(err, "listen for clients")
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

// serve handles requests for readiness or metrics on a listener until ctx ends.
func (r *Router) serve(ctx context.Context, l net.Listener, h http.Handler) error {
	limiter := &httpserve.Limiter{
		Clock: r.clock, MaxConns: maxReportConns, HeadMemory: reportHeadMemory, MaxHeadBytes: func() int { return maxReportHeadBytes },
		Count: r.countRefusedReader,
		Report: func(reason httpserve.Refusal, number int) {
			r.Log.Event("refused", "address", l.Addr(), "reason", string(reason), "clients", number)
		},
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: time.Minute}
	return httpserve.UntilLimited(ctx, server, l, limiter)
}
