package placing

import (
	"testing"
	"time"
)

// TestPartsInUseAreNotEvicted records more parts than maxParts while prompts keep using some of
// them. Those must not be evicted.
func TestPartsInUseAreNotEvicted(t *testing.T) {
	const used, replica = 400, 7
	clock := &fakeClock{time.Unix(100, 0)}
	d := NewDirectory(clock, Origin{Name: "r1", Incarnation: 1})
	for key := range uint64(used) {
		d.Place(Placement{Key: key, Replica: replica})
	}
	for key := uint64(used); key < 3*maxParts; key++ {
		clock.now = clock.now.Add(time.Millisecond)
		d.Place(Placement{Key: key, Replica: replica})
		if len(d.Holders(key%used)) == 0 {
			t.Fatalf("the holder of part %d, which is in use, was evicted", key%used)
		}
		d.Place(Placement{Key: key % used, Replica: replica})
	}
	if n := len(d.holders); n > maxParts {
		t.Errorf("%d parts are recorded", n)
	}
}
