// Package httpserve runs an HTTP server for as long as a context lasts.
//
// # Usage
//
//	server := &http.Server{Handler: h}
//	group.Go(func() error { return httpserve.Until(ctx, server, listener, server.Close) })
package httpserve

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Until serves on the listener until ctx ends or serving fails, then calls stop,
// which has to end the server, and returns when both are done. An end by stop is
// no error.
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
