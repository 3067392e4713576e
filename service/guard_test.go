package service

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestCheckErrorOverridesTransportError guards against losing the error of a failed
// check: the transport's reader may report the closed connection before its writer
// reports the refused write.
func TestCheckErrorOverridesTransportError(t *testing.T) {
	refusal := errors.New("claim expired")
	tests := []struct {
		name    string
		check   func() error
		write   bool
		written bool
		want    error
	}{
		{name: "check fails", check: func() error { return refusal }, write: true, want: refusal},
		{name: "check passes", check: func() error { return nil }, write: true, written: true, want: net.ErrClosed},
		{name: "nothing written", check: func() error { return refusal }, want: net.ErrClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &writeGuard{check: tt.check}
			if tt.write {
				if got := g.admit(); (got == nil) != tt.written {
					t.Errorf("write: %v", got)
				}
			}
			written, err := g.finish(net.ErrClosed)
			if written != tt.written || !errors.Is(err, tt.want) {
				t.Errorf("written %v, error %v, want %v, %v", written, err, tt.written, tt.want)
			}
			if err := g.admit(); (err == nil) != tt.written {
				t.Errorf("write after finish: %v", err)
			}
		})
	}
}
