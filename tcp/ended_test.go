package tcp

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestHasEnded distinguishes processes that end from those that go on, whatever they do with a
// connection that nothing is sent on.
func TestHasEnded(t *testing.T) {
	tests := map[string]struct {
		accepts bool          // whether connections are accepted and kept open
		closes  bool          // whether they are closed at once
		endsIn  time.Duration // 0 if the process goes on
		ended   bool
		open    bool
	}{
		"goes on":                      {true, false, 0, false, true},
		"goes on, busy":                {false, false, 0, false, true},
		"goes on, closes connections":  {true, true, 0, false, true},
		"has ended":                    {false, false, time.Nanosecond, true, false},
		"ends":                         {true, false, CloseTimeout / 2, true, false},
		"ends, busy":                   {false, false, CloseTimeout / 2, true, false},
		"ends, connections end before": {true, true, CloseTimeout / 2, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var group errgroup.Group
			if tt.accepts {
				group.Go(func() error { return acceptAll(l, tt.closes) })
			}
			group.Go(func() error {
				if tt.endsIn > 0 {
					time.Sleep(tt.endsIn)
					return l.Close()
				}
				return nil
			})
			if tt.endsIn == time.Nanosecond {
				_ = group.Wait() // accepts nothing, and has closed the listener
			}
			open, ended := HasEnded(context.Background(), CloseTimeout, func(ctx context.Context) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
			})
			if ended != tt.ended || (open != nil) != tt.open {
				t.Errorf("ended %v, connection %v", ended, open)
			}
			if open != nil {
				_ = open.Close() // nothing was sent on it
			}
			_ = l.Close() // again for a process that has ended
			_ = group.Wait()
		})
	}
}

// acceptAll accepts connections until the listener is closed.
func acceptAll(l net.Listener, closes bool) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return nil
		}
		if closes {
			_ = c.Close() // nothing was sent on it
			continue
		}
		defer c.Close()
	}
}
