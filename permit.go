package peridotusher

import "time"

// Ask asks the owner of an engine for a permit to send one request to it.
type Ask struct {
	Request   Request
	Engine    EngineID
	Ingress   RouterID
	Ticket    uint64        // the ingress's number for the ask, echoed in a late grant
	Budget    time.Duration // time the ingress is ready to wait for an answer
	Deputy    bool          // set when the ingress could not reach the owner
	Relayed   bool          // set when another router passes the ask on
	Home      bool          // set when the engine is the chat's home
	Resident  bool          // set when the engine is said to hold the chat's prefix
	Final     bool          // set when the ingress has no other engine to try
	Displaced bool          // set when an engine of higher rank refused
	Loads     []EngineLoad  // loads that the ingress's router owns, piggybacked
}

// Answer is the owner's decision on an Ask.
type Answer struct {
	Granted    bool
	Queued     bool          // the decision follows, see Ticket
	Ticket     uint64        // of the ask that a late decision answers
	Wait       time.Duration // when queued, the longest time until the decision
	Owner      RouterID      // the router that decided
	Permit     PermitID
	Engine     EngineID      // the engine granted
	Next       EngineID      // on refusal, the candidate to ask next, or empty
	Holds      bool          // on refusal, whether Next is said to hold the chat's prefix
	Cause      Cause         // on refusal, why
	RetryAfter time.Duration // on refusal with no candidate, when to come back
	Loads      []EngineLoad  // loads that the owner knows, piggybacked
}

// Return ends a permit with the request's outcome.
type Return struct {
	Permit  PermitID
	Engine  EngineID
	Ingress RouterID
	Verdict Verdict
	Failed  bool
}

// HeldPermit is a permit that an ingress reports to an engine's owner.
type HeldPermit struct {
	Permit PermitID
	Ask    Ask
}

// EngineLoad is the outstanding work of one engine as its owner counts it.
type EngineLoad struct {
	Engine  EngineID
	Model   string
	Work    int // work units admitted and not returned
	Permits int
	Age     time.Duration // age of the count when it was sent
}
