package edge

import (
	"testing"
	"time"
)

// TestListIsDue has a router hear that others have just read the list: it need not
// read it too, unless it never got one.
func TestListIsDue(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		age    time.Duration // of the others' list; 0 if none is known
		rank   int
		took   time.Duration // by the own last list
		want   bool
	}{
		{"nothing is known", false, 0, 1, 0, true},
		{"others have the list", false, 10 * time.Millisecond, 1, 0, true},
		{"this router has it too", true, 10 * time.Millisecond, 1, 0, false},
		{"the list is old", true, 4 * time.Second, 1, 10 * time.Millisecond, true},
		{"lists are slow", true, 4 * time.Second, 1, 3 * time.Second, false},
		{"lists are slow for the reader", true, 4 * time.Second, 0, 3 * time.Second, true},
		{"lists are slow, and this one too old", true, time.Minute, 1, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t)
			r.listed.Store(tt.listed)
			r.readTook.Store(int64(tt.took))
			if tt.age > 0 {
				r.hearReading(tt.age, time.Hour)
			}
			if got := r.listDue(r.clock.Now(), tt.rank); got != tt.want {
				t.Errorf("due %v, want %v", got, tt.want)
			}
		})
	}
}
