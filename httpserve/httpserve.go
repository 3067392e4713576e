// Package httpserve runs an HTTP server until a context ends, limits what its clients occupy, and stops it without
// dropping requests.
//
// net/http limits the bytes of a head, while a head of short lines takes a hundred times its bytes in memory, and
// it limits neither the number of connections nor what all of them take. A Limiter limits both, before a head is
// parsed. Clients that have sent a whole request go before those that have not.
//
// http.Server.Shutdown closes a connection as soon as it is idle, whatever its client was told, and drops
// requests that it reads from then on. Conns closes a connection for being idle only if no part of a request was
// read since the last answer, and only after the time for which the client may use it again.
//
// # Usage
//
// A server within limits that stops at once:
//
//	limiter := &httpserve.Limiter{Clock: clock, MaxConns: 64, HeadMemory: 8 << 20, MaxHeadBytes: func() int { return 16 << 10 }}
//	group.Go(func() error { return httpserve.UntilLimited(ctx, &http.Server{Handler: h}, listener, limiter) })
//
// A server that stops gracefully, whose listener returns connections that implement Conn:
//
//	conns := &httpserve.Conns{Clock: clock}
//	server := &http.Server{Handler: httpserve.TrackRequests(h), ConnState: conns.Track, ConnContext: httpserve.WithConn}
//	limited := &httpserve.Listener{Listener: listener, Closer: tcp.NewCloser(), Limiter: limiter}
//	group.Go(func() error {
//		return httpserve.UntilDrained(ctx, server, limited, func() error { return conns.Drain(grace, limits) })
//	})
package httpserve

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Until serves on the listener until ctx ends or serving fails. It then calls stop,
// which has to close or shut down the server, and returns when both serving and stop
// have returned. It returns no error for a server that stop has closed.
func Until(ctx context.Context, server *http.Server, l net.Listener, stop func() error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", l.Addr())
	})
	group.Go(func() error {
		<-ctx.Done()
		return stop()
	})
	return group.Wait()
}

// UntilLimited serves on the listener, within the limits of a Limiter, until ctx ends or serving fails. It then
// closes the server.
func UntilLimited(ctx context.Context, server *http.Server, l net.Listener, limiter *Limiter) error {
	conns := &Conns{Clock: limiter.Clock}
	server.Handler = TrackRequests(server.Handler)
	server.ConnState, server.ConnContext = conns.Track, WithConn
	return Until(ctx, server, &Listener{Listener: l, Limiter: limiter}, server.Close)
}

// UntilDrained serves on the listener until ctx ends or serving fails. It then closes the listener and calls
// drain, which has to wait for the requests in flight. Requests that arrive on open connections are served until
// drain returns and the server is closed.
func UntilDrained(ctx context.Context, server *http.Server, l net.Listener, drain func() error) error {
	group, ctx := errgroup.WithContext(ctx)
	accepted := make(chan struct{}) // closed when no more connections are accepted
	group.Go(func() error {
		defer close(accepted)
		err := server.Serve(l)
		if ctx.Err() != nil && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", l.Addr())
	})
	group.Go(func() error {
		<-ctx.Done()
		_ = l.Close() // it may have been closed before
		<-accepted
		return errors.CombineErrors(drain(), server.Close())
	})
	return group.Wait()
}
