package ratelimit

import "time"

// MaxRate bounds a stated rate, in requests a second.
const MaxRate = 1 << 20

// Statement is what a replica has stated about the request rate that it accepts.
type Statement struct {
	// Replica is the hash of the replica and of its start.
	Replica uint32
	// Rate is the accepted number of requests a second from all routers together, if Limited is
	// set. Otherwise the replica states no limit any more.
	Rate    float64
	Limited bool
	// Age is the time since the answer with the statement.
	Age time.Duration
}

// Answer is what an answer of a replica says about its rate.
type Answer struct {
	Replica uint32
	Rate    float64
	Limited bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// known is the latest statement of a replica.
type known struct {
	rate    float64
	limited bool
	at      time.Time // of the answer
	// published is how often the statement was returned for heartbeats since its value changed.
	published int
}

// sameValue reports whether the statements say the same.
func (k *known) sameValue(limited bool, rate float64) bool {
	return k.limited == limited && (!limited || k.rate == rate)
}

func (k *known) statement(replica uint32, now time.Time) Statement {
	return Statement{Replica: replica, Rate: k.rate, Limited: k.limited, Age: max(now.Sub(k.at), 0)}
}
