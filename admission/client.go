package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// replyTimeout is how long to wait for a coordinator's reply. It covers a round trip
	// between zones and a router whose processor is busy for a moment.
	replyTimeout = 40 * time.Millisecond
	// bypassDuration is how long no requests are sent to a coordinator that did not reply.
	bypassDuration = 2 * time.Second
	// resendInterval is the interval at which a waiting request is sent again: the datagram
	// with the decision may be dropped, and the coordinator may have stopped.
	resendInterval = 250 * time.Millisecond
	// undecidedRetryAfter is the retry-after time of a request that no coordinator decided
	// on in time.
	undecidedRetryAfter = 200 * time.Millisecond
	// maxReplyRetryAfter is the longest retry-after time accepted from a coordinator.
	maxReplyRetryAfter = 10 * time.Second
	// maxBufferedReplies bounds the buffered replies to a request.
	maxBufferedReplies = 8
	// maxAbandoned bounds the requests that are remembered to cancel late grants.
	maxAbandoned = 512
)

// Transport reaches the coordinators of services. Its methods must not block.
type Transport interface {
	// Coordinator returns the router that coordinates a service, and whether it is this
	// router. ok is false if there is none.
	Coordinator(service string) (router string, self, ok bool)
	// Ask sends a request to a router for a decision.
	Ask(router string, r Request)
	// Release ends a request whose slot was used.
	Release(router, service string, id uint64, u Usage)
	// Cancel withdraws a request.
	Cancel(router, service string, id uint64)
}

// localCoordinator is this router's coordinator.
type localCoordinator interface {
	Submit(r Request) (Reply, bool)
	Release(service, router string, incarnation int64, id uint64, u Usage)
	Cancel(service, router string, incarnation int64, id uint64)
}

// Client requests slots at replicas from coordinators. Its fields are set before use. It is
// safe for concurrent use.
type Client struct {
	// Router is the name of this router, Incarnation identifies its start, Zone is its
	// availability zone.
	Router      string
	Incarnation int64
	Zone        string
	Clock       peridotusher.Clock
	Transport   Transport
	// LocalCoordinator is this router's coordinator. It decides on requests to the services that this
	// router coordinates.
	LocalCoordinator localCoordinator
	// KnowsReplica reports whether this router knows the replica.
	KnowsReplica func(replica uint32) bool

	mu             sync.Mutex
	lastID         uint64
	pending        map[uint64]*pendingRequest
	abandoned      map[uint64]*pendingRequest
	abandonedOrder []uint64 // of abandoned, oldest first
	bypassed       map[string]time.Time
}

// pendingRequest is a request that was sent to a coordinator, possibly to this router's own.
type pendingRequest struct {
	Request
	coordinator string
	self        bool
	started     time.Time
	replies     chan Reply
}

// Grant is the outcome of a request.
type Grant struct {
	// State is Granted, Refused or Bypassed.
	State State
	// Replica is the replica with the slot, if the request is granted.
	Replica uint32
	// RetryAfter is when the client may retry, if the request is refused.
	RetryAfter time.Duration
	// Coordinator is the router that was asked. Cause says why it was bypassed or did not
	// decide; it is one of the causes below or "".
	Coordinator, Cause string
	// Release ends the request; a Usage without a replica means that the slot was not
	// used. Only the first call counts.
	Release func(u Usage)
}

// The causes of grants that no coordinator decided on.
const (
	causeNoCoordinator   = "none"     // no coordinator is known
	causeBypassed        = "bypassed" // the coordinator failed to reply within the last bypassDuration
	causeNoReply         = "silent"   // the coordinator did not reply to this request
	causeUnable          = "unable"   // the coordinator cannot decide
	causeUnusableReplica = "replica"  // the coordinator granted a replica that cannot be used
	causeStopping        = "stopping" // the coordinator is stopping
	causeUndecided       = "late"     // the coordinator did not decide in time
	causeDisconnected    = "left"     // the client disconnected
)

// Acquire requests a slot from the coordinator of the request's service, and waits for it
// until the latency target has passed or ctx ends.
func (c *Client) Acquire(ctx context.Context, r Request) Grant {
	router, self, ok := c.Transport.Coordinator(r.Service)
	if !ok {
		return bypass("", causeNoCoordinator)
	}
	if !self && c.isBypassed(router) {
		return bypass(router, causeBypassed)
	}
	p := c.register(r, router, self)
	if reply, ok := c.submit(p); !ok {
		return c.abandon(p, bypass(router, causeUnable))
	} else if reply.State != Waiting {
		return c.resolve(p, reply)
	}
	return c.await(ctx, p)
}

// bypass returns the grant of a request for which its router chooses the replica.
func bypass(router, cause string) Grant {
	return Grant{State: Bypassed, Coordinator: router, Cause: cause, Release: func(Usage) {}}
}

// refuse returns the grant of a refused request.
func refuse(router, cause string, after time.Duration) Grant {
	return Grant{State: Refused, RetryAfter: after, Coordinator: router, Cause: cause, Release: func(Usage) {}}
}

// submit sends the request to the coordinator. Another router's reply arrives through Receive.
func (c *Client) submit(p *pendingRequest) (Reply, bool) {
	if p.self {
		return c.LocalCoordinator.Submit(p.Request)
	}
	r := p.Request
	elapsed := c.Clock.Now().Sub(p.started)
	r.LatencyTarget, r.Deadline = r.LatencyTarget-elapsed, r.Deadline-elapsed
	c.Transport.Ask(p.coordinator, r)
	return Reply{State: Waiting}, true
}

// await waits for the decision of a coordinator.
func (c *Client) await(ctx context.Context, p *pendingRequest) Grant {
	timeout := time.NewTimer(min(p.Deadline, max(p.LatencyTarget, replyTimeout)))
	defer timeout.Stop()
	noReply, resend := time.NewTimer(replyTimeout), time.NewTimer(resendInterval)
	defer noReply.Stop()
	defer resend.Stop()
	if p.self {
		noReply.Stop()
		resend.Stop()
	}
	for {
		select {
		case reply := <-p.replies:
			if reply.State != Waiting {
				return c.resolve(p, reply)
			}
			noReply.Stop()
			resend.Reset(resendInterval)
		case <-resend.C:
			c.submit(p)
			noReply.Reset(replyTimeout)
		case <-noReply.C:
			if len(p.replies) == 0 {
				return c.abandon(p, c.handleNoReply(p))
			}
		case <-timeout.C:
			if len(p.replies) == 0 {
				return c.abandon(p, refuse(p.coordinator, causeUndecided, undecidedRetryAfter))
			}
			timeout.Reset(0)
		case <-ctx.Done():
			return c.abandon(p, refuse(p.coordinator, causeDisconnected, undecidedRetryAfter))
		}
	}
}

// handleNoReply bypasses a coordinator that did not reply, for this request and for those of the
// next bypassDuration.
func (c *Client) handleNoReply(p *pendingRequest) Grant {
	c.setBypassed(p.coordinator)
	return bypass(p.coordinator, causeNoReply)
}

// resolve returns the grant for a coordinator's final reply, and ends or abandons the request.
func (c *Client) resolve(p *pendingRequest, reply Reply) Grant {
	switch {
	case reply.State == Granted && c.usable(p, reply.Replica):
		c.removePending(p)
		return Grant{State: Granted, Replica: reply.Replica, Coordinator: p.coordinator, Release: c.releaseFunc(p)}
	case reply.State == Refused && reply.RetryAfter > stopRetryAfter:
		c.removePending(p)
		return refuse(p.coordinator, "", min(reply.RetryAfter, maxReplyRetryAfter))
	case reply.State == Refused:
		c.removePending(p)
		c.setBypassed(p.coordinator)
		return bypass(p.coordinator, refusalCause(reply))
	}
	return c.abandon(p, bypass(p.coordinator, causeUnusableReplica))
}

// refusalCause returns why a coordinator replied without deciding.
func refusalCause(reply Reply) string {
	if reply.RetryAfter > 0 {
		return causeStopping
	}
	return causeUnable
}

// usable reports whether the request may be sent to the replica.
func (c *Client) usable(p *pendingRequest, replica uint32) bool {
	return replica != 0 && !slices.Contains(p.Exclude, replica) && c.KnowsReplica(replica)
}

// releaseFunc returns the function that releases the slot of a granted request.
func (c *Client) releaseFunc(p *pendingRequest) func(Usage) {
	var once sync.Once
	return func(u Usage) {
		once.Do(func() {
			switch {
			case u.Replica == 0:
				c.cancel(p)
			case p.self:
				c.LocalCoordinator.Release(p.Service, p.Router, p.Incarnation, p.ID, u)
			default:
				c.Transport.Release(p.coordinator, p.Service, p.ID, u)
			}
		})
	}
}

// cancel withdraws the request at the coordinator.
func (c *Client) cancel(p *pendingRequest) {
	if p.self {
		c.LocalCoordinator.Cancel(p.Service, p.Router, p.Incarnation, p.ID)
		return
	}
	c.Transport.Cancel(p.coordinator, p.Service, p.ID)
}

// Receive handles a coordinator's reply. A grant that arrives too late is canceled.
func (c *Client) Receive(reply Reply) {
	if reply.Incarnation != c.Incarnation {
		return
	}
	if p := c.deliver(reply); p != nil {
		c.cancel(p)
	}
}
