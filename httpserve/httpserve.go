// Package httpserve runs an HTTP server until a context ends, and stops one without dropping requests.
//
// http.Server.Shutdown closes a connection as soon as it is idle, whatever its client was told, and drops
// requests that it reads from then on. Conns closes a connection for being idle only if no part of a request was
// read since the last answer, and only after the time for which the client may use it again.
//
// # Usage
//
//	server := &http.Server{Handler: h}
//	group.Go(func() error { return httpserve.Until(ctx, server, listener, server.Close) })
//
// A server that stops gracefully, whose listener returns connections that implement Conn:
//
//	conns := &httpserve.Conns{Clock: clock}
//	server := &http.Server{Handler: httpserve.RejectClosed(h), ConnState: conns.Track, ConnContext: httpserve.WithConn}
//	group.Go(func() error {
//		return httpserve.UntilDrained(ctx, server, listener, func() error { return conns.Drain(grace, limits) })
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
