package mesh

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/replicas"
)

// TestEvacuationsSpread has one router of a fleet read an evacuation while the store refuses all
// others: heartbeats, of which one in ten is lost, carry it to all of them in the time that remains
// after the read of the list.
func TestEvacuationsSpread(t *testing.T) {
	const maxTime = 3 * time.Second
	for _, routers := range []int{3, 125, 370} {
		m := newModel(routers, 0.1)
		if took := m.updateTime(1); took > maxTime {
			t.Errorf("the evacuation reaches all of %d routers after %v, want at most %v", routers, took, maxTime)
		}
	}
}

// TestMalformedEvacuations guards against an overflow and a missing zone in malformed evacuations.
func TestMalformedEvacuations(t *testing.T) {
	if _, err := unmarshalEvacuation(marshalEvacuation(replicas.Evacuation{Active: true})); err == nil {
		t.Error("an evacuation without zone is accepted")
	}
	data := appendNumber(appendBytes(nil, evacuationZone, []byte("z")), evacuationAge, 1<<64-1)
	if e, err := unmarshalEvacuation(data); err != nil || e.Age < 0 {
		t.Errorf("evacuation = %+v, %v", e, err)
	}
}
