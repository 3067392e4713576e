package relay

import (
	"net/http"
	"time"
)

// Call is what a client's request says of itself.
type Call struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the client's key; "" if it sent none.
	Key string
	// Patience is how long the client waits; 0 if it does not say.
	Patience time.Duration
	// Prompt lists the parts of a prompt in order; empty for plain calls.
	Prompt []Part
	// Tokens is the number of tokens that the request may occupy in the memory of a
	// model replica, those of its prompt and its longest output; 0 if it does not say.
	Tokens int
}

// Part is a part of a prompt that may be shared with other prompts.
type Part struct {
	ID     uint64
	Tokens int
}

// Send holds the values for the headers that are added to a request to a replica.
type Send struct {
	// Replica is the id of the replica that is meant.
	Replica string
	// Left is the time that is left for the answer.
	Left time.Duration
	// Organisation is the name of the key's holder; "" for public routes.
	Organisation string
	// Urgency orders requests at a replica; 0 is the first.
	Urgency int
	// Source is the address of a replica from which the shared parts of the
	// prompt are fetched; "" for none.
	Source string
	// After is the last event that the client has, for a stream that goes on;
	// "" leaves the client's own header as it is.
	After string
}

// Reply is what a replica's answer says of itself.
type Reply struct {
	// ID is the attempt that the answer belongs to; "" if it does not say.
	ID string
	// NotRun means that the replica promises not to have run the request.
	NotRun bool
	// Misdirected means that another replica has the address.
	Misdirected bool
	// Signed means that the answer bears a replica's signature.
	Signed bool
	// Leaving means that the replica takes no new requests any more.
	Leaving bool
	// Backoff is how long this router shall send the replica no further request; 0 if it
	// does not say, BackoffUnreadable if what it says cannot be read.
	Backoff time.Duration
	// Cold is how long the replica is still cold, if ReportsCold is set. ColdMalformed means
	// that what it says of that was not used as it is.
	Cold                       time.Duration
	ReportsCold, ColdMalformed bool
	// Running, Waiting and Slots are the replica's load; Slots is 0 if untold.
	Running, Waiting, Slots int
	// Pace is how long work takes at the replica at the moment, as a factor: 1 is as
	// usual, 0 means that the answer does not say.
	Pace float64
	// MalformedLoad is what the answer says of the load if that cannot be read whole,
	// else "".
	MalformedLoad string
}

// BackoffUnreadable stands for a time that cannot be read.
const BackoffUnreadable time.Duration = -1

// Dialect reads and writes the platform's headers.
type Dialect interface {
	// Call reads a client's headers.
	Call(h http.Header) Call
	// Own reports whether a header of a client belongs to the platform, so that
	// it is passed on even if the client calls it one of the connection.
	Own(name string) bool
	// Strip removes from a client's headers those that only routers may set.
	Strip(h http.Header)
	// Sent adds the router's own headers.
	Sent(h http.Header, s Send)
	// Reply reads an answer of a replica.
	Reply(resp *http.Response) Reply
}
