package peer

// Kind identifies a type of message. Each kind has one handler.
type Kind uint32

// The kinds of this package. Kinds of other packages have numbers from
// FirstOtherKind on.
const (
	KindHeartbeat  Kind = 1
	KindLeaving    Kind = 2
	KindAsk        Kind = 3
	KindReturn     Kind = 4
	KindReport     Kind = 5
	KindIdle       Kind = 6 // the receiver is to drain the session, which is idle
	KindDrained    Kind = 7 // the sender has no pending calls on the session and starts none
	FirstOtherKind Kind = 16

	// KindGrant is an owner's decision on a queued request for a permit.
	KindGrant Kind = 16
	// KindPlaced notifies the owner of a chat's home engine that another engine
	// holds the chat, or no longer does.
	KindPlaced Kind = 17
	// KindFacts carries the load reports of the sender's engines.
	KindFacts Kind = 18
	// KindDemands carries the demand of the sender's callers for organisations
	// with a limit.
	KindDemands Kind = 19
	// KindDigest carries the changes of a zone to other zones.
	KindDigest Kind = 20

	// KindDelta carries a change of the configuration.
	KindDelta Kind = 32
	// KindFetch requests the changes of the configuration since a revision.
	KindFetch Kind = 33
)

// lane is one of the two streams of a session.
type lane int

// The lanes, in the order in which their streams are opened.
const (
	controlLane lane = iota
	permitLane
	laneCount
)

// lane returns the stream that carries messages of the kind.
func (k Kind) lane() lane {
	if k == KindAsk || k == KindReturn || k == KindGrant {
		return permitLane
	}
	return controlLane
}
