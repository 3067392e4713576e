package tcp

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestIsWindowClosed distinguishes clients that do not read from those whose host does not
// respond.
func TestIsWindowClosed(t *testing.T) {
	tests := map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"all acknowledged":    {unix.TCPInfo{}, false},
		"in flight":           {unix.TCPInfo{Unacked: 3, Notsent_bytes: 9}, false},
		"last data in flight": {unix.TCPInfo{Unacked: 1}, false},
		"window closed":       {unix.TCPInfo{Notsent_bytes: 9}, true},
	}
	for name, tt := range tests {
		if got := isWindowClosed(&tt.info); got != tt.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
