package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"
	"peridotusher.example/peridotusher"
)

// errNoPermitHandler is the answer of a node without a PermitHandler.
var errNoPermitHandler = errors.New("router gives no permits")

// PermitHandler decides on permits for the engines that this router owns.
type PermitHandler interface {
	// Ask decides on a request for a permit.
	Ask(ctx context.Context, ask peridotusher.Ask) peridotusher.Answer
	// Release releases a permit.
	Release(r peridotusher.Release)
	// Report records the permits that a router holds, after the engine changed
	// its owner.
	Report(from peridotusher.RouterID, held []peridotusher.HeldPermit)
}

// Ask requests a permit from a router. A request to this router itself is
// decided locally.
func (n *Node) Ask(ctx context.Context, to peridotusher.RouterID, ask peridotusher.Ask) (peridotusher.Answer, error) {
	if to == n.Self.ID() && n.Permits != nil {
		return n.Permits.Ask(ctx, ask), nil
	}
	var reply AnswerPermit
	if err := n.Call(ctx, to, KindAsk, n.askToWire(ask), &reply); err != nil {
		return peridotusher.Answer{}, err
	}
	return answerFromWire(&reply, to), nil
}

// Release releases a permit at the router that granted it. It returns once the
// message is queued; the next Report makes up for a message that is lost.
func (n *Node) Release(ctx context.Context, to peridotusher.RouterID, r peridotusher.Release) error {
	if to == n.Self.ID() && n.Permits != nil {
		n.Permits.Release(r)
		return nil
	}
	return n.Notify(ctx, to, KindReturn, n.returnToWire(r))
}

// Report sends the permits that this router holds to an engine's new owner and
// waits for its confirmation.
func (n *Node) Report(ctx context.Context, to peridotusher.RouterID, held []peridotusher.HeldPermit) error {
	if to == n.Self.ID() && n.Permits != nil {
		n.Permits.Report(to, held)
		return nil
	}
	msg := &HeldPermits{}
	for _, h := range held {
		msg.Permits = append(msg.Permits, &HeldPermit{Permit: string(h.Permit), Ask: n.askToWire(h.Ask)})
	}
	return n.Call(ctx, to, KindReport, msg, nil)
}

// handleAsk decides on another router's request for a permit.
func (n *Node) handleAsk(ctx context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg AskPermit
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if n.Permits == nil {
		return nil, errNoPermitHandler
	}
	answer := n.Permits.Ask(ctx, n.askFromWire(&msg, from))
	return proto.Marshal(n.answerToWire(answer))
}

// releaseLatePermit releases a permit that was granted after its request was
// canceled.
func (n *Node) releaseLatePermit(s *session, e *Envelope) {
	var answer AnswerPermit
	if Kind(e.GetKind()) != KindAsk || proto.Unmarshal(e.GetBody(), &answer) != nil || !answer.GetGranted() {
		return
	}
	body, err := proto.Marshal(&ReturnPermit{
		Permit:  answer.GetPermit(),
		Engine:  answer.GetEngine(),
		Ingress: string(n.Self.ID()),
		Verdict: uint32(peridotusher.NotRun),
	})
	if err == nil {
		err = s.offer(&Envelope{Kind: uint32(KindReturn), Body: body})
	}
	if err != nil {
		n.Log.WithError(err).WithField("peer", s.peer.ID()).Warn("cannot release permit granted after its request was canceled")
	}
}

// handleReturn releases a permit.
func (n *Node) handleReturn(_ context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg ReturnPermit
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if n.Permits == nil {
		return nil, errNoPermitHandler
	}
	n.Permits.Release(returnFromWire(&msg, from))
	return nil, nil
}

// handleReport records the permits that another router holds.
func (n *Node) handleReport(_ context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg HeldPermits
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if n.Permits == nil {
		return nil, errNoPermitHandler
	}
	held := make([]peridotusher.HeldPermit, 0, len(msg.GetPermits()))
	for _, p := range msg.GetPermits() {
		held = append(held, peridotusher.HeldPermit{
			Permit: peridotusher.PermitID(p.GetPermit()),
			Ask:    n.askFromWire(p.GetAsk(), from),
		})
	}
	n.Permits.Report(from, held)
	return nil, nil
}

// askToWire converts an ask. Its deadline is sent as the remaining time, because
// the routers' clocks differ.
func (n *Node) askToWire(a peridotusher.Ask) *AskPermit {
	msg := &AskPermit{
		Request:      string(a.Request.ID),
		Chat:         string(a.Request.Chat),
		Organisation: a.Request.Organisation,
		Model:        a.Request.Model,
		Class:        a.Request.Class,
		Work:         int64(a.Request.Work),
		Engine:       string(a.Engine),
		Ingress:      n.ingressToWire(a.Ingress),
		Budget:       a.Budget.Microseconds(),
		Deputy:       a.Deputy,
		Displaced:    a.Displaced,
		Ticket:       a.Ticket,
		Relayed:      a.Relayed,
		Home:         a.Home,
		Resident:     a.HoldsPrefix,
		Final:        a.Final,
		Loads:        loadsToWire(a.Loads),
	}
	if !a.Request.Deadline.IsZero() {
		msg.Remaining = proto.Int64(a.Request.Deadline.Sub(n.now()).Microseconds())
	}
	return msg
}

// askFromWire converts a received ask.
func (n *Node) askFromWire(msg *AskPermit, from peridotusher.RouterID) peridotusher.Ask {
	request := peridotusher.Request{
		ID:           peridotusher.RequestID(msg.GetRequest()),
		Chat:         peridotusher.ChatKey(msg.GetChat()),
		Organisation: msg.GetOrganisation(),
		Model:        msg.GetModel(),
		Class:        msg.GetClass(),
		Work:         int(msg.GetWork()),
	}
	if msg != nil && msg.Remaining != nil {
		request.Deadline = n.now().Add(microseconds(msg.GetRemaining()))
	}
	return peridotusher.Ask{
		Request:     request,
		Engine:      peridotusher.EngineID(msg.GetEngine()),
		Ingress:     ingressFromWire(msg.GetIngress(), from),
		Budget:      microseconds(msg.GetBudget()),
		Deputy:      msg.GetDeputy(),
		Displaced:   msg.GetDisplaced(),
		Ticket:      msg.GetTicket(),
		Relayed:     msg.GetRelayed(),
		Home:        msg.GetHome(),
		HoldsPrefix: msg.GetResident(),
		Final:       msg.GetFinal(),
		Loads:       loadsFromWire(msg.GetLoads()),
	}
}

// answerToWire converts an answer. It omits the owner when that is this router.
func (n *Node) answerToWire(a peridotusher.Answer) *AnswerPermit {
	if a.Owner == n.Self.ID() {
		a.Owner = ""
	}
	return &AnswerPermit{
		Granted:    a.Granted,
		Permit:     string(a.Permit),
		Engine:     string(a.Engine),
		Next:       string(a.Next),
		Cause:      string(a.Cause),
		RetryAfter: a.RetryAfter.Microseconds(),
		Loads:      loadsToWire(a.Loads),
		Queued:     a.Queued,
		Ticket:     a.Ticket,
		Wait:       a.Wait.Microseconds(),
		Owner:      string(a.Owner),
		Holds:      a.NextHoldsPrefix,
	}
}

// answerFromWire converts a received answer. If it names no owner, the sender is
// the owner.
func answerFromWire(msg *AnswerPermit, from peridotusher.RouterID) peridotusher.Answer {
	owner := peridotusher.RouterID(msg.GetOwner())
	if owner == "" {
		owner = from
	}
	return peridotusher.Answer{
		Granted:         msg.GetGranted(),
		Permit:          peridotusher.PermitID(msg.GetPermit()),
		Engine:          peridotusher.EngineID(msg.GetEngine()),
		Next:            peridotusher.EngineID(msg.GetNext()),
		Cause:           peridotusher.Cause(msg.GetCause()),
		RetryAfter:      microseconds(msg.GetRetryAfter()),
		Loads:           loadsFromWire(msg.GetLoads()),
		Queued:          msg.GetQueued(),
		Ticket:          msg.GetTicket(),
		Wait:            microseconds(msg.GetWait()),
		Owner:           owner,
		NextHoldsPrefix: msg.GetHolds(),
	}
}

// ingressToWire converts the name of an ingress. It omits this router's own name,
// which the peer knows.
func (n *Node) ingressToWire(ingress peridotusher.RouterID) string {
	if ingress == n.Self.ID() {
		return ""
	}
	return string(ingress)
}

// ingressFromWire returns the ingress that a message names, or its sender if it
// names none.
func ingressFromWire(ingress string, from peridotusher.RouterID) peridotusher.RouterID {
	if ingress == "" {
		return from
	}
	return peridotusher.RouterID(ingress)
}

// returnToWire converts a return.
func (n *Node) returnToWire(r peridotusher.Release) *ReturnPermit {
	return &ReturnPermit{
		Permit:  string(r.Permit),
		Engine:  string(r.Engine),
		Ingress: n.ingressToWire(r.Ingress),
		Verdict: uint32(r.Verdict),
		Failed:  r.Failed,
	}
}

// returnFromWire converts a received return. An unknown verdict becomes
// MayHaveRun, the one that rules out nothing.
func returnFromWire(msg *ReturnPermit, from peridotusher.RouterID) peridotusher.Release {
	verdict := peridotusher.MayHaveRun
	if v := msg.GetVerdict(); v <= uint32(peridotusher.Ran) {
		verdict = peridotusher.Verdict(v)
	}
	return peridotusher.Release{
		Permit:  peridotusher.PermitID(msg.GetPermit()),
		Engine:  peridotusher.EngineID(msg.GetEngine()),
		Ingress: ingressFromWire(msg.GetIngress(), from),
		Verdict: verdict,
		Failed:  msg.GetFailed(),
	}
}

// now returns the time of the node's clock.
func (n *Node) now() time.Time {
	n.once.Do(n.init)
	return n.Clock.Now()
}

// microseconds converts a received count of microseconds.
func microseconds(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}
