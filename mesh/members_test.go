package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

func TestMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0"}, peridotusher.ClockFunc(func() time.Time { return now }))
	names := func() []string {
		out := []string{}
		for _, peer := range m.alive() {
			out = append(out, peer.Name)
		}
		return out
	}
	// The uptime is such that a higher incarnation is a later start.
	const latest = 10
	receive := func(name string, incarnation int64) bool {
		return m.receive(&Heartbeat{Member: Member{Name: name, Address: name + ":1", Incarnation: incarnation},
			Uptime: time.Duration(latest-incarnation) * time.Minute, Known: []Member{{Name: "third", Address: "third:1"}}})
	}
	if receive("r0", 1) {
		t.Error("the router accepted its own heartbeat")
	}
	receive("r1", 5)
	receive("r2", 5)
	if diff := cmp.Diff([]string{"r1", "r2"}, names()); diff != "" {
		t.Errorf("alive (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"r1:1", "r2:1", "third:1"}, m.addresses()); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
	if receive("r1", 4) {
		t.Error("a late heartbeat of an earlier start was accepted")
	}
	now = now.Add(2 * minAliveTime)
	if !receive("r1", 4) {
		t.Error("a start after the clock was set back was not accepted")
	}
	if diff := cmp.Diff([]string{"r1"}, names()); diff != "" {
		t.Errorf("alive after a silence (-want +got):\n%s", diff)
	}
	now = now.Add(2 * minRememberTime)
	m.removeSilent()
	if got := m.addresses(); len(got) != 0 {
		t.Errorf("addresses after a long silence: %v", got)
	}
}

// TestRestartAfterClockWasSetBack has a router restart with a lower incarnation: its heartbeats are
// accepted at once, also while other routers still list the previous start, and late heartbeats of
// the previous start are not.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0"}, peridotusher.ClockFunc(func() time.Time { return now }))
	first, again := Member{Name: "r1", Address: "r1:1", Incarnation: 90}, Member{Name: "r1", Address: "r1:2", Incarnation: 40}
	receive := func(from Member, uptime time.Duration) bool {
		return m.receive(&Heartbeat{Member: from, Uptime: uptime, RouterCount: 370}) // so that a silent router counts as alive for long
	}
	receive(first, time.Hour)
	for step := range 4 {
		now = now.Add(heartbeatInterval)
		if !receive(again, time.Duration(step+1)*heartbeatInterval) {
			t.Fatalf("heartbeat %d after the restart was not accepted", step)
		}
		m.addNamed(now, first)
		if receive(first, time.Hour) {
			t.Error("a late heartbeat of the previous start was accepted")
		}
	}
	if diff := cmp.Diff([]string{"r1:2"}, m.addresses()); diff != "" {
		t.Errorf("address (-want +got):\n%s", diff)
	}
}

// TestZoneCount counts the routers of a zone: one is ready, one is not, one is silent, one was only
// listed by another router, one is in another zone.
func TestZoneCount(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0", Zone: "a"}, peridotusher.ClockFunc(func() time.Time { return now }))
	receive := func(name, zone string, ready bool) {
		m.receive(&Heartbeat{Member: Member{Name: name, Zone: zone, Address: name + ":1", Incarnation: 1}, Ready: ready})
	}
	receive("silent", "a", true)
	now = now.Add(2 * minAliveTime)
	receive("ready", "a", true)
	receive("starting", "a", false)
	receive("far", "b", true)
	m.addNamed(now, Member{Name: "listed", Zone: "a", Address: "listed:1", Incarnation: 1})
	if diff := cmp.Diff(ZoneCount{Ready: 1, All: 5}, m.zone()); diff != "" {
		t.Errorf("zone (-want +got):\n%s", diff)
	}
}

// TestAliveTimeDependsOnSendersFleetSize guards against a router that knows few others and treats one
// that knows many, and so sends to it less often, as failed between two of its heartbeats.
func TestAliveTimeDependsOnSendersFleetSize(t *testing.T) {
	const fleet = 82
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0"}, peridotusher.ClockFunc(func() time.Time { return now }))
	m.receive(&Heartbeat{Member: Member{Name: "seed", Address: "s:1", Incarnation: 1}, RouterCount: fleet})
	now = now.Add(coverTime(fleet - 1))
	if n := len(m.alive()); n != 1 {
		t.Errorf("%d routers are alive before the next heartbeat of the only known one", n)
	}
	now = now.Add(2 * aliveCoverTimes * coverTime(fleet-1))
	if n := len(m.alive()); n != 0 {
		t.Errorf("%d routers are alive after a long silence", n)
	}
}

// TestVeryLargeFleetIsNotForgotten has so many routers that it takes 31 s to send each a heartbeat:
// none is removed between two of its heartbeats.
func TestVeryLargeFleetIsNotForgotten(t *testing.T) {
	const fleet = 1000
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0"}, peridotusher.ClockFunc(func() time.Time { return now }))
	for i := range fleet - 1 {
		m.receive(&Heartbeat{Member: Member{Name: fmt.Sprint("o", i), Address: "o:1", Incarnation: 1}, RouterCount: fleet})
	}
	now = now.Add(coverTime(fleet-1) + heartbeatInterval)
	m.removeSilent()
	if got := m.count(); got != fleet {
		t.Errorf("%d of %d routers are known after a round of heartbeats", got, fleet)
	}
}
