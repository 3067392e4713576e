package peridotusher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testTimeout = 2 * time.Second

// fakeClock is a clock that tests set.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newTestMembers() (*Members, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	return NewMembers(NewMember("self", "north", "10.0.0.1:1", 1), clock), clock
}

// describe lists the members as "id/incarnation state".
func describe(t *Members) []string {
	var all []string
	for _, m := range t.All() {
		all = append(all, fmt.Sprintf("%s/%d %s", m.ID(), m.Incarnation(), m.State()))
	}
	return all
}

func TestMembersMerge(t *testing.T) {
	b1 := NewMember("b", "north", "10.0.0.2:1", 1)
	b2 := NewMember("b", "north", "10.0.0.2:1", 2)
	b0 := NewMember("b", "north", "10.0.0.2:1", 0)
	sameAddress := NewMember("c", "north", "10.0.0.2:1", 5)
	tests := []struct {
		name string
		run  func(*Members, *fakeClock)
		want []string
	}{
		{"list proposes", func(m *Members, _ *fakeClock) {
			m.Propose([]Member{b0})
		}, []string{"b/0 proposed", "self/1 live"}},
		{"unlisted before a heartbeat", func(m *Members, _ *fakeClock) {
			m.Propose([]Member{b0})
			m.Propose(nil)
		}, []string{"self/1 live"}},
		{"unlisted after a heartbeat", func(m *Members, _ *fakeClock) {
			m.Propose([]Member{b0})
			m.ReceiveHeartbeat(b1)
			m.Propose(nil)
		}, []string{"b/1 live", "self/1 live"}},
		{"later incarnation replaces", func(m *Members, _ *fakeClock) {
			m.ReceiveHeartbeat(b1)
			m.ReceiveHeartbeat(b2)
		}, []string{"b/2 live", "self/1 live"}},
		{"earlier incarnation ignored", func(m *Members, _ *fakeClock) {
			m.ReceiveHeartbeat(b2)
			m.ReceiveHeartbeat(b1)
		}, []string{"b/2 live", "self/1 live"}},
		{"same address replaces", func(m *Members, _ *fakeClock) {
			m.ReceiveHeartbeat(b1)
			m.ReceiveHeartbeat(sameAddress)
			m.Propose([]Member{b0})
		}, []string{"c/5 live", "self/1 live"}},
		{"leaving outlasts heartbeats", func(m *Members, _ *fakeClock) {
			m.ReceiveHeartbeat(b1)
			m.MarkLeaving("b")
			m.ReceiveHeartbeat(b1)
		}, []string{"b/1 leaving", "self/1 live"}},
		{"later incarnation is not leaving", func(m *Members, _ *fakeClock) {
			m.ReceiveHeartbeat(b1)
			m.MarkLeaving("b")
			m.ReceiveHeartbeat(b2)
		}, []string{"b/2 live", "self/1 live"}},
		{"silence", func(m *Members, c *fakeClock) {
			m.ReceiveHeartbeat(b1)
			c.now = c.now.Add(testTimeout)
			m.Expire(testTimeout)
		}, []string{"b/1 suspect", "self/1 live"}},
		{"heartbeat after silence", func(m *Members, c *fakeClock) {
			m.ReceiveHeartbeat(b1)
			c.now = c.now.Add(testTimeout)
			m.Expire(testTimeout)
			m.ReceiveHeartbeat(b1)
			m.Expire(testTimeout)
		}, []string{"b/1 live", "self/1 live"}},
		{"removed", func(m *Members, c *fakeClock) {
			m.ReceiveHeartbeat(b1)
			c.now = c.now.Add(removalTimeouts * testTimeout)
			m.Expire(testTimeout)
		}, []string{"self/1 live"}},
		{"removed while listed", func(m *Members, c *fakeClock) {
			m.Propose([]Member{b0})
			m.ReceiveHeartbeat(b1)
			c.now = c.now.Add(removalTimeouts * testTimeout)
			m.Expire(testTimeout)
		}, []string{"b/0 proposed", "self/1 live"}},
		{"self is not replaced", func(m *Members, _ *fakeClock) {
			m.ReceiveHeartbeat(NewMember("self", "north", "10.0.0.1:1", 9))
			m.ReceiveHeartbeat(NewMember("x", "north", "10.0.0.1:1", 9))
			m.MarkSuspect("self")
		}, []string{"self/1 live"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, clock := newTestMembers()
			tt.run(m, clock)
			if diff := cmp.Diff(tt.want, describe(m)); diff != "" {
				t.Errorf("members (-want +got):\n%s", diff)
			}
		})
	}
}

func TestMembersVersionChangesOnlyWithMembers(t *testing.T) {
	m, _ := newTestMembers()
	b := NewMember("b", "north", "10.0.0.2:1", 1)
	before := m.Version()
	m.ReceiveHeartbeat(b)
	changed := m.Version()
	m.ReceiveHeartbeat(b)
	m.Expire(testTimeout)
	m.Propose([]Member{b})
	if changed <= before {
		t.Errorf("version after a new member = %d, want more than %d", changed, before)
	}
	if got := m.Version(); got != changed {
		t.Errorf("version without a change = %d, want %d", got, changed)
	}
}

func TestOwnerIsInEngineZone(t *testing.T) {
	m, _ := newTestMembers()
	m.ReceiveHeartbeat(NewMember("n2", "north", "10.0.0.2:1", 1))
	m.ReceiveHeartbeat(NewMember("s1", "south", "10.0.1.1:1", 1))
	m.ReceiveHeartbeat(NewMember("s2", "south", "10.0.1.2:1", 1))
	m.Propose([]Member{NewMember("s3", "south", "10.0.1.3:1", 1)})
	for i := range 50 {
		engine := EngineID(fmt.Sprintf("engine-%d", i))
		owner, _ := m.OwnerOf(engine, "south")
		deputy, _ := m.DeputyOf(engine, "south")
		got := []bool{owner == "s1" || owner == "s2", deputy == "s1" || deputy == "s2", owner != deputy}
		if diff := cmp.Diff([]bool{true, true, true}, got); diff != "" {
			t.Fatalf("owner %q and deputy %q of %s (-want +got):\n%s", owner, deputy, engine, diff)
		}
	}
}

func TestOwnerAfterFaults(t *testing.T) {
	tests := []struct {
		name string
		run  func(*Members)
		want []RouterID
	}{
		{"all live", func(*Members) {}, []RouterID{"s1", "self"}},
		{"owner suspect", func(m *Members) { m.MarkSuspect("s1") }, []RouterID{"self", ""}},
		{"owner leaving", func(m *Members) { m.MarkLeaving("s1") }, []RouterID{"self", "s1"}},
		{"last two leaving", func(m *Members) {
			m.MarkSuspect("s1")
			m.MarkLeaving("self")
		}, []RouterID{"self", ""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := newTestMembers()
			m.ReceiveHeartbeat(NewMember("s1", "south", "10.0.1.1:1", 1))
			m.OwnerOf("engine", "south")
			tt.run(m)
			owner, _ := m.OwnerOf("engine", "south")
			deputy, _ := m.DeputyOf("engine", "south")
			if diff := cmp.Diff(tt.want, []RouterID{owner, deputy}); diff != "" {
				t.Errorf("owner and deputy (-want +got):\n%s", diff)
			}
		})
	}
}
