package peridotusher

// MemberState is the state of a router as seen by another router.
type MemberState uint8

// The states of a member.
const (
	// MemberProposed means that the platform lists the router and no heartbeat was received.
	MemberProposed MemberState = iota
	// MemberLive means that heartbeats are being received.
	MemberLive
	// MemberSuspect means that heartbeats have stopped.
	MemberSuspect
	// MemberLeaving means that the router announced its shutdown and still answers.
	MemberLeaving
)

// String returns the state as written in logs.
func (s MemberState) String() string {
	switch s {
	case MemberLive:
		return "live"
	case MemberSuspect:
		return "suspect"
	case MemberLeaving:
		return "leaving"
	default:
		return "proposed"
	}
}

// Member is one router process of the fleet.
type Member struct {
	id          RouterID
	zone        Zone
	address     string
	incarnation uint64
	state       MemberState
}

// NewMember returns a proposed member. The incarnation increases with every start
// of the router's process; zero means unknown.
func NewMember(id RouterID, zone Zone, address string, incarnation uint64) Member {
	return Member{id: id, zone: zone, address: address, incarnation: incarnation}
}

// WithState returns a copy of the member in another state.
func (m Member) WithState(s MemberState) Member {
	m.state = s
	return m
}

// ID returns the router's ID.
func (m Member) ID() RouterID { return m.id }

// Zone returns the router's availability zone.
func (m Member) Zone() Zone { return m.zone }

// Address returns the IP address and port on which the router accepts connections of
// other routers.
func (m Member) Address() string { return m.address }

// Incarnation returns the incarnation of the router's process.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state of the router as last observed.
func (m Member) State() MemberState { return m.state }
