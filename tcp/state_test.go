package tcp

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestIsPaused distinguishes peers that do not read from those whose host does not respond.
func TestIsPaused(t *testing.T) {
	tests := map[string]struct {
		info   unix.TCPInfo
		queued int
		want   bool
	}{
		"all acknowledged":                   {unix.TCPInfo{}, 0, false},
		"in flight":                          {unix.TCPInfo{Unacked: 3, Notsent_bytes: 9}, 12, false},
		"last data in flight":                {unix.TCPInfo{Unacked: 1}, 3, false},
		"window closed":                      {unix.TCPInfo{Notsent_bytes: 9}, 9, true},
		"window closed, queue not known":     {unix.TCPInfo{Notsent_bytes: 9}, 0, true},
		"in flight, queue not known":         {unix.TCPInfo{Unacked: 3, Notsent_bytes: 9}, 0, false},
		"queued, kernel tells nothing else":  {unix.TCPInfo{}, 9, true},
		"last in flight and queue not known": {unix.TCPInfo{Unacked: 1}, 0, false},
	}
	for name, tt := range tests {
		if got := newState(&tt.info, tt.queued).isPaused(); got != tt.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
