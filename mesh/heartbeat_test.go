package mesh

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

var sampleQuarantine = quarantine.Update{
	Crashes: []quarantine.Crash{
		{Replica: 1 << 31, Age: 700 * time.Millisecond, Suspects: []quarantine.Suspect{{Age: time.Second, Parts: []uint64{1 << 60, 7}}, {Parts: []uint64{9}}}},
		{Replica: 3},
	},
	Sound: []quarantine.Sound{{Part: 1 << 50, Age: 20 * time.Millisecond}, {Part: 2}},
}

func sampleHeartbeat() Heartbeat {
	return Heartbeat{
		Member:        Member{Name: "r1", Address: "10.0.0.1:7000", Zone: "a", Incarnation: 1764800000000},
		Configuration: 12, Epoch: 3, Digest: 1 << 31,
		ReadAge: 450 * time.Millisecond, ReaderScore: 1 << 15, OutageAge: time.Hour, Stopping: true, Ready: true,
		Counts:  []replicas.Count{{Replica: 1 << 31, Held: 3, Good: 1000, Bad: 2}, {Replica: 7}},
		Changes: []replicas.Entry{{ID: "i-1", Service: "s", Address: "10.0.0.9:80", Zone: "b", Slots: 64, StartedAt: 5, Seq: 4, ColdRemaining: 1500 * time.Millisecond, ReportsCold: true, Leaving: true, LeavingAnnounced: true, Removed: true, Epoch: 3, Revision: 99}},
		Evacuations: []replicas.Evacuation{
			{Zone: "b", Active: true, Epoch: 3, Revision: 98, Age: time.Minute}, {Zone: "c", Epoch: 2, Revision: 1 << 40},
		},
		Crashes:     sampleQuarantine.Crashes,
		Limits:      []ratelimit.Statement{{Replica: 1 << 31, Rate: 2.5, Limited: true, Age: 30 * time.Millisecond}, {Replica: 2, Limited: true}, {Replica: 3}},
		Uptime:      90 * time.Minute,
		Reports:     []replicas.Report{{Replica: 8, Load: 70, Pace: 8, Age: 30 * time.Millisecond}, {Replica: 9}, {Replica: 10, Pace: 1.25}},
		Delta:       placing.Delta{Placements: []placing.Placement{{Key: 1 << 60, Replica: 5}}, Sequence: 12},
		Reads:       []placing.Placement{{Key: 9, Replica: 6}},
		Settled:     true,
		RouterCount: 82,
		Format:      format,
		Known:       []Member{{Name: "r2", Address: "10.0.0.2:7000", Zone: "b", Incarnation: 4}},
	}
}

func TestHeartbeatRoundTrip(t *testing.T) {
	sent := sampleHeartbeat()
	var got Heartbeat
	if err := got.unmarshal(sent.marshal()); err != nil {
		t.Fatal(err)
	}
	sent.Address = "" // not encoded, the datagram's source is used
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("heartbeat (-want +got):\n%s", diff)
	}
}

// TestHeartbeatBandwidth checks the bandwidth of heartbeats in a fleet of typical size: a router with a
// dozen requests a second, replicas with limits and seven other routers may send 6 KB of heartbeats a second.
func TestHeartbeatBandwidth(t *testing.T) {
	const others, budget = 7, 6 << 10
	h := Heartbeat{
		Member:        Member{Name: "edge-attica-a-1", Address: "10.1.0.40:7340", Zone: "attica-a", Incarnation: 1764800000000},
		Configuration: 1000, Epoch: 3, Digest: 1 << 31, ReadAge: 450 * time.Millisecond, OutageAge: time.Minute, Settled: true, Ready: true, RouterCount: others + 1, Format: format,
		Delta: placing.Delta{Placements: []placing.Placement{{Key: 1 << 47, Replica: 1 << 31}, {Key: 1 << 46, Replica: 1 << 31}}, Sequence: 300},
	}
	for i := range 12 {
		h.Counts = append(h.Counts, replicas.Count{Replica: 1<<31 + uint32(i), Held: 1, Good: 300, Bad: 3})
	}
	perSecond := float64(others*(len(h.marshal())+datagramOverhead)) / heartbeatInterval.Seconds()
	limit := []ratelimit.Statement{{Replica: 1 << 31, Rate: 2.5, Limited: true, Age: time.Second}}
	perSecond += float64(others * len(appendLimits(nil, heartbeatLimit, limit))) // in one heartbeat a second
	if perSecond > budget {
		t.Errorf("heartbeats take %.0f bytes a second, want at most %d", perSecond, budget)
	}
}

func TestTruncatedHeartbeats(t *testing.T) {
	h := sampleHeartbeat()
	data := h.marshal()
	for n := range data {
		var got Heartbeat
		_ = got.unmarshal(data[:n]) // must not panic; some truncated messages are valid
	}
}
