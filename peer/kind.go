package peer

// Kind names a type of message. Each kind has one handler.
type Kind uint32

// The kinds that this package knows. Other packages take numbers from KindOther on.
const (
	KindHeartbeat Kind = 1
	KindLeaving   Kind = 2
	KindAsk       Kind = 3
	KindReturn    Kind = 4
	KindReport    Kind = 5
	KindOther     Kind = 16

	// KindGrant is an owner's late decision on an ask.
	KindGrant Kind = 16
	// KindPlaced tells a chat's home where the chat went.
	KindPlaced Kind = 17
	// KindFacts tells what the sender's engines have loaded.
	KindFacts Kind = 18
	// KindDemands tells what the sender's callers ask for limited organisations.
	KindDemands Kind = 19
	// KindDigest tells another zone what changed in the sender's.
	KindDigest Kind = 20

	// KindDelta carries a change of the configuration.
	KindDelta Kind = 32
	// KindFetch asks for what of the configuration is newer than a revision.
	KindFetch Kind = 33
)

// lane selects one of the streams of a session.
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
