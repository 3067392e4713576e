package service

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestRefusalOutlivesTheTransport ends a call with what the transport's reader says
// of the connection, which it may do before the writer tells of the refused write.
func TestRefusalOutlivesTheTransport(t *testing.T) {
	refusal := errors.New("claim lapsed")
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
			g := &guard{check: tt.check}
			if tt.write {
				if got := g.admit(); (got == nil) != tt.written {
					t.Errorf("write: %v", got)
				}
			}
			written, err := g.end(net.ErrClosed)
			if written != tt.written || !errors.Is(err, tt.want) {
				t.Errorf("written %v, error %v, want %v, %v", written, err, tt.written, tt.want)
			}
			if late := g.admit(); (late == nil) != tt.written {
				t.Errorf("a write after the end: %v", late)
			}
		})
	}
}
