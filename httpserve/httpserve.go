// Package httpserve runs an HTTP server until a context ends.
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
