package mesh

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

// Member identifies a router and its address.
type Member struct {
	Name string
	// Address is the IP address and port for heartbeats and sessions.
	Address string
	Zone    string
	// Incarnation identifies a start of the router.
	Incarnation int64
}

// Heartbeat contains the state that a router sends to the others at regular intervals.
type Heartbeat struct {
	// Member is the sender. Its address is not in the message but is the source of the
	// datagram.
	Member
	// Configuration is the version of the configuration in force.
	Configuration int64
	// Epoch is the epoch of the platform's store; 0 if it is not known.
	Epoch int64
	// Digest is the hash of all ready replicas.
	Digest uint32
	// ReadAge is the age of the newest list of replicas from the store.
	ReadAge time.Duration
	// ReaderScore is the score, see Node.RendezvousScore, of the router that read that list; 0 for the first
	// one in the order.
	ReaderScore uint64
	// OutageAge is the time since the last outage of the store ended.
	OutageAge time.Duration
	// Stopping routers will soon accept no new connections.
	Stopping bool
	// Ready routers report to the load balancer that they accept new connections.
	Ready bool
	// Counts are the sender's own counts of requests and outcomes at replicas.
	Counts []replicas.Count
	// Reports are the latest loads that replicas reported; sent in a large fleet only.
	Reports []replicas.Report
	// Changes are the latest changes of replicas.
	Changes []replicas.Entry
	// Evacuations are the evacuations of zones that are in force or ended recently.
	Evacuations []replicas.Evacuation
	// Crashes are the latest crashes of replicas, and those because of which requests are blocked.
	Crashes []quarantine.Crash
	// Limits are request rates that replicas have stated, and ends of such limits.
	Limits []ratelimit.Statement
	// Delta contains the sender's latest placements of parts (shared prompt prefixes) at
	// replicas.
	Delta placing.Delta
	// Reads are the large parts that replicas are processing for the sender's requests and
	// have not cached yet.
	Reads []placing.Placement
	// Settled routers have the placements made before they started.
	Settled bool
	// Known are some of the other routers that the sender considers alive.
	Known []Member
	// Uptime is the time since the sender's start, which determines the later one of two
	// starts of a router; 0 if it was not sent.
	Uptime time.Duration
	// RouterCount is the number of routers that the sender knows, itself included. The interval of
	// its heartbeats to each router is derived from it.
	RouterCount int
	// Format is the message format of the sender. Only Member, Stopping, Ready, Known, Uptime
	// and RouterCount are decoded from a heartbeat of another format.
	Format int
}

// The field numbers of a heartbeat on the wire. The format comes first; its number and
// those of the fields that are decoded in every format never change.
const (
	heartbeatMember protowire.Number = iota + 1
	heartbeatConfiguration
	heartbeatDigest
	heartbeatReadAge
	heartbeatStopping
	heartbeatCounts
	heartbeatChange
	heartbeatKnown
	heartbeatPlacements
	heartbeatOutageAge
	heartbeatReports
	heartbeatSequence
	heartbeatSettled
	heartbeatReads
	heartbeatRouters
	heartbeatFormat
	heartbeatUnready
	heartbeatEpoch
	heartbeatReadBy
	heartbeatPaces
	heartbeatEvacuation
	heartbeatUptime
	heartbeatCrash
	heartbeatLimit
)

// maxReportedRouters bounds the number of routers that a heartbeat reports, since time-outs are
// derived from it.
const maxReportedRouters = 1 << 16

// The field numbers of a member.
const (
	memberName protowire.Number = iota + 1
	memberAddress
	memberZone
	memberIncarnation
)

// The number of integers that follow the replica in each element of a packed list.
const (
	countNumbers     = 3
	placementNumbers = 1
	reportNumbers    = 2
)

func (h *Heartbeat) marshal() []byte {
	self := h.Member
	self.Address = "" // the receiver uses the datagram's source
	out := appendNumber(nil, heartbeatFormat, uint64(h.Format))
	out = appendBytes(out, heartbeatMember, self.marshal())
	out = appendNumber(out, heartbeatConfiguration, uint64(h.Configuration))
	out = appendNumber(out, heartbeatEpoch, uint64(h.Epoch))
	out = appendNumber(out, heartbeatDigest, uint64(h.Digest))
	out = appendNumber(out, heartbeatReadAge, uint64(h.ReadAge.Milliseconds()))
	out = appendNumber(out, heartbeatReadBy, h.ReaderScore)
	out = appendNumber(out, heartbeatOutageAge, uint64(h.OutageAge.Milliseconds()))
	out = appendFlag(out, heartbeatStopping, h.Stopping)
	out = appendFlag(out, heartbeatUnready, !h.Ready)
	var packed []byte
	for _, c := range h.Counts {
		packed = protowire.AppendFixed32(packed, c.Replica)
		packed = protowire.AppendVarint(packed, uint64(max(c.Held, 0)))
		packed = protowire.AppendVarint(packed, uint64(c.Good))
		packed = protowire.AppendVarint(packed, uint64(c.Bad))
	}
	out = appendBytes(out, heartbeatCounts, packed)
	for _, e := range h.Changes {
		out = appendBytes(out, heartbeatChange, marshalEntry(e))
	}
	for _, e := range h.Evacuations {
		out = appendBytes(out, heartbeatEvacuation, marshalEvacuation(e))
	}
	for _, c := range h.Crashes {
		out = appendBytes(out, heartbeatCrash, marshalCrash(c))
	}
	out = appendLimits(out, heartbeatLimit, h.Limits)
	for _, m := range h.Known {
		out = appendBytes(out, heartbeatKnown, m.marshal())
	}
	out = appendNumber(out, heartbeatUptime, uint64(h.Uptime.Milliseconds()))
	out = appendBytes(out, heartbeatPlacements, packPlacements(h.Delta.Placements))
	out = appendNumber(out, heartbeatSequence, h.Delta.Sequence)
	out = appendFlag(out, heartbeatSettled, h.Settled)
	out = appendBytes(out, heartbeatReads, packPlacements(h.Reads))
	out = appendNumber(out, heartbeatRouters, uint64(h.RouterCount))
	packed = nil
	for _, r := range h.Reports {
		packed = protowire.AppendFixed32(packed, r.Replica)
		packed = protowire.AppendVarint(packed, uint64(max(r.Load, 0)))
		packed = protowire.AppendVarint(packed, uint64(r.Age.Milliseconds()))
	}
	out = appendBytes(out, heartbeatReports, packed)
	return appendBytes(out, heartbeatPaces, packPaces(h.Reports))
}

func (h *Heartbeat) unmarshal(data []byte) error {
	h.Ready = true // a field is sent only if it is false
	var paces []byte
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case heartbeatFormat:
			h.Format = int(v)
			return nil
		case heartbeatMember:
			return h.Member.unmarshal(raw)
		case heartbeatStopping:
			h.Stopping = v != 0
			return nil
		case heartbeatUnready:
			h.Ready = v == 0
			return nil
		case heartbeatKnown:
			var m Member
			err := m.unmarshal(raw)
			h.Known = append(h.Known, m)
			return err
		case heartbeatRouters:
			h.RouterCount = int(min(v, maxReportedRouters))
			return nil
		case heartbeatUptime:
			h.Uptime = decodeMilliseconds(v)
			return nil
		}
		if h.Format != format {
			return nil
		}
		if n == heartbeatPaces {
			paces = raw
			return nil
		}
		return h.unmarshalState(n, v, raw)
	})
	if err != nil {
		return err
	}
	return unpackPaces(paces, h.Reports)
}

// unmarshalState decodes one of the fields that are read only from heartbeats of this router's
// format.
func (h *Heartbeat) unmarshalState(n protowire.Number, v uint64, raw []byte) error {
	switch n {
	case heartbeatConfiguration:
		h.Configuration = int64(v)
	case heartbeatEpoch:
		h.Epoch = int64(v)
	case heartbeatDigest:
		h.Digest = uint32(v)
	case heartbeatReadAge:
		h.ReadAge = time.Duration(v) * time.Millisecond
	case heartbeatReadBy:
		h.ReaderScore = v
	case heartbeatOutageAge:
		h.OutageAge = time.Duration(v) * time.Millisecond
	case heartbeatCounts:
		return h.unmarshalCounts(raw)
	case heartbeatPlacements:
		placements, err := unpackPlacements(raw)
		h.Delta.Placements = placements
		return err
	case heartbeatReads:
		reads, err := unpackPlacements(raw)
		h.Reads = reads
		return err
	case heartbeatSequence:
		h.Delta.Sequence = v
	case heartbeatSettled:
		h.Settled = v != 0
	case heartbeatReports:
		return h.unmarshalReports(raw)
	case heartbeatChange:
		e, err := unmarshalEntry(raw)
		h.Changes = append(h.Changes, e)
		return err
	case heartbeatEvacuation:
		e, err := unmarshalEvacuation(raw)
		h.Evacuations = append(h.Evacuations, e)
		return err
	case heartbeatCrash:
		c, err := unmarshalCrash(raw)
		h.Crashes = append(h.Crashes, c)
		return err
	case heartbeatLimit:
		s, err := unmarshalLimit(raw)
		h.Limits = append(h.Limits, s)
		return err
	}
	return nil
}

// eachPacked calls f for each element of a packed list: a replica and len(numbers) integers, which
// are in numbers during the call.
func eachPacked(raw []byte, numbers []uint64, f func(replica uint32)) error {
	for len(raw) > 0 {
		replica, n := protowire.ConsumeFixed32(raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
		for i := range numbers {
			numbers[i], n = protowire.ConsumeVarint(raw)
			if n < 0 {
				return protowire.ParseError(n)
			}
			raw = raw[n:]
		}
		f(replica)
	}
	return nil
}

func packPlacements(placements []placing.Placement) []byte {
	var packed []byte
	for _, p := range placements {
		packed = protowire.AppendFixed32(packed, p.Replica)
		packed = protowire.AppendVarint(packed, p.Key)
	}
	return packed
}

func unpackPlacements(raw []byte) ([]placing.Placement, error) {
	var placements []placing.Placement
	var n [placementNumbers]uint64
	err := eachPacked(raw, n[:], func(replica uint32) {
		placements = append(placements, placing.Placement{Key: n[0], Replica: replica})
	})
	return placements, err
}

func (h *Heartbeat) unmarshalReports(raw []byte) error {
	var n [reportNumbers]uint64
	return eachPacked(raw, n[:], func(replica uint32) {
		h.Reports = append(h.Reports, replicas.Report{Replica: replica, Load: int32(n[0]), Age: time.Duration(n[1]) * time.Millisecond})
	})
}

func (h *Heartbeat) unmarshalCounts(raw []byte) error {
	var n [countNumbers]uint64
	return eachPacked(raw, n[:], func(replica uint32) {
		h.Counts = append(h.Counts, replicas.Count{Replica: replica, Held: int32(n[0]), Good: uint32(n[1]), Bad: uint32(n[2])})
	})
}

func (m *Member) marshal() []byte {
	out := appendBytes(nil, memberName, []byte(m.Name))
	out = appendBytes(out, memberAddress, []byte(m.Address))
	out = appendBytes(out, memberZone, []byte(m.Zone))
	return appendNumber(out, memberIncarnation, uint64(m.Incarnation))
}

func (m *Member) unmarshal(data []byte) error {
	return eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case memberName:
			m.Name = string(raw)
		case memberAddress:
			m.Address = string(raw)
		case memberZone:
			m.Zone = string(raw)
		case memberIncarnation:
			m.Incarnation = int64(v)
		}
		return nil
	})
}
