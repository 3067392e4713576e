package relay

import (
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/ratelimit"
)

// Call holds what the platform's headers of a client request say.
type Call struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the client's key; "" if it sent none.
	Key string
	// ClientTimeout is the client's time limit; 0 if it sets none.
	ClientTimeout time.Duration
	// Prompt lists the parts of the prompt in order; empty for requests without a prompt.
	Prompt []Part
	// Tokens is the number of tokens that the request may occupy in the memory of a
	// model replica: those of its prompt and its longest possible output; 0 if not stated.
	Tokens int
}

// Part is a part of a prompt that other prompts may share, so that a replica can use its cached
// tokens again.
type Part struct {
	ID     uint64
	Tokens int
}

// RouterHeaders holds the values of the headers that are added to a request to a replica.
type RouterHeaders struct {
	// Replica is the id of the intended replica.
	Replica string
	// TimeLeft is the time left for the answer.
	TimeLeft time.Duration
	// Organisation is the name of the organisation that the key belongs to; "" for public routes.
	Organisation string
	// Urgency is the priority of the request at the replica; 0 is served first.
	Urgency int
	// Source is the address of a replica from which the shared parts of the prompt can be
	// fetched; "" for none.
	Source string
	// LastEventID is the id of the last event that the client has, if a stream is resumed; "" keeps the
	// client's own header.
	LastEventID string
}

// Reply holds what the platform's headers of a replica's answer say.
type Reply struct {
	// ID is the id of the request that the answer belongs to; "" if not stated.
	ID string
	// NotRun means that the replica promises not to have run the request.
	NotRun bool
	// Misdirected means that another replica now has the address, and has not run the request.
	Misdirected bool
	// Signed means that the answer carries a replica's signature.
	Signed bool
	// Leaving means that the replica is shutting down and takes no new requests.
	Leaving bool
	// Backoff is how long this router must not send the replica another request; 0 if not stated,
	// BackoffMalformed if the value cannot be parsed.
	Backoff time.Duration
	// ColdRemaining is how much longer the replica is cold, if ReportsCold is set. ColdMalformed means
	// that the stated value was invalid and was not used unchanged.
	ColdRemaining              time.Duration
	ReportsCold, ColdMalformed bool
	// Running, Waiting and Slots are the load of the replica; Slots is 0 if not stated.
	Running, Waiting, Slots int
	// Pace is the replica's current slowdown factor: 1 is its usual speed, 2 means that work
	// takes twice as long, 0 that it is not stated.
	Pace float64
	// Rate is the number of requests a second that the replica accepts from all routers together,
	// if LimitsRate is set. RateMalformed means that a rate is stated that cannot be parsed.
	Rate                      float64
	LimitsRate, RateMalformed bool
	// MalformedLoad is the stated load if it cannot be parsed completely, else "".
	MalformedLoad string
}

// Verdict returns what the answer states about the request: that it has not run, which only a promise
// states and no status, or that it has. A signed answer is that of a run even if it claims that another
// replica now has the address.
func (r Reply) Verdict() peridotusher.Verdict {
	if r.NotRun || r.Misdirected && !r.Signed {
		return peridotusher.NotRun
	}
	return peridotusher.Ran
}

// MaxRate is the largest request rate that a replica may state, in requests a second.
const MaxRate = ratelimit.MaxRate

// BackoffMalformed stands for a backoff that cannot be parsed.
const BackoffMalformed time.Duration = -1

// Dialect reads and writes the platform's headers.
type Dialect interface {
	// ReadCall reads the headers of a client request.
	ReadCall(h http.Header) Call
	// IsPlatformHeader reports whether a request header belongs to the platform. Such a header is forwarded
	// even if the client lists it in Connection.
	IsPlatformHeader(name string) bool
	// StripRouterHeaders removes the headers that only routers may set from those of a client.
	StripRouterHeaders(h http.Header)
	// SetRouterHeaders adds the router's own headers to a request to a replica.
	SetRouterHeaders(h http.Header, s RouterHeaders)
	// ReadReply reads the headers of a replica's answer.
	ReadReply(resp *http.Response) Reply
}
