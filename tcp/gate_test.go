package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// received is what a read through a gate returned.
type received struct {
	Text   string
	Closed bool // whether the error is net.ErrClosed
}

// TestClosedGateHandsNothingOn guards against requests that are served though their connection is being closed.
func TestClosedGateHandsNothingOn(t *testing.T) {
	tests := map[string]struct {
		early string // sent before the gate is to be closed
		close func(g *ReadGate) bool
		want  received
	}{
		"closed while a read waits":       {"", func(g *ReadGate) bool { g.Shut(); return true }, received{"", true}},
		"closed if idle, and it is":       {"", (*ReadGate).ShutIfIdle, received{"", true}},
		"closed if idle, but it is not":   {"a", (*ReadGate).ShutIfIdle, received{"b", false}},
		"closed if idle behind line ends": {"\r\n", (*ReadGate).ShutIfIdle, received{"", true}},
		"closed after a part of the text": {"a", func(g *ReadGate) bool { g.Shut(); return true }, received{"", true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			defer server.Close()
			var g ReadGate
			var group errgroup.Group
			write := func(text string) {
				group.Go(func() error {
					_, err := io.WriteString(client, text)
					return err
				})
			}
			read := func() received {
				buf := make([]byte, 1)
				n, err := g.Receive(server, buf)
				return received{string(buf[:n]), err == net.ErrClosed}
			}
			g.MarkIdle()
			for _, b := range tt.early {
				write(string(b))
				if diff := cmp.Diff(received{string(b), false}, read()); diff != "" {
					t.Fatalf("(-want +got):\n%s", diff)
				}
			}
			result := make(chan received, 1)
			group.Go(func() error {
				result <- read()
				return nil
			})
			time.Sleep(10 * time.Millisecond) // so that the read waits
			if closed := tt.close(&g); closed != tt.want.Closed {
				t.Errorf("closed: %v", closed)
			}
			write("b")
			if diff := cmp.Diff(tt.want, <-result); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
