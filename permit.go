package peridotusher

import "time"

// Ask is an ingress's request to the owner of an engine for a permit to send one
// request to the engine.
type Ask struct {
	Request     Request
	Engine      EngineID
	Ingress     RouterID
	Ticket      uint64        // the ingress's number for the ask, echoed in a deferred decision
	Budget      time.Duration // how long the ingress waits for an answer
	Deputy      bool          // set when sent to the deputy, because the owner did not answer
	Relayed     bool          // set when another router forwards the ask
	Home        bool          // set when the engine is the chat's home engine
	HoldsPrefix bool          // set when the engine is recorded as holding the chat's prefix
	Final       bool          // set when the ingress has no other engine left to ask for
	Displaced   bool          // set when a permit for a higher-ranked engine was refused
	Loads       []EngineLoad  // minimum loads of engines owned by the ingress's router, piggybacked
}

// Answer is the owner's answer to an Ask: a decision, or a notice that the ask is
// queued and its decision deferred.
type Answer struct {
	Granted         bool
	Queued          bool          // the decision follows later, see Ticket
	Ticket          uint64        // of the ask that a deferred decision belongs to
	Wait            time.Duration // when queued, the longest time until the decision
	Owner           RouterID      // the router that decided
	Permit          PermitID
	Engine          EngineID      // the engine that the permit is for
	Next            EngineID      // on refusal, the candidate to ask next, or empty
	NextHoldsPrefix bool          // on refusal, whether Next is recorded as holding the chat's prefix
	Cause           Cause         // on refusal, the reason
	RetryAfter      time.Duration // on refusal without a candidate, when to retry
	Loads           []EngineLoad  // minimum loads of engines that the owner owns, piggybacked
}

// Release is the message that ends a permit, with the request's outcome.
type Release struct {
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
	Work    int // work units of admitted requests that have not ended
	Permits int
	Age     time.Duration // age of the count when it was sent
}
