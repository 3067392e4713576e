package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// EngineFacts is the last load report that the owner of an engine read from it.
type EngineFacts struct {
	Engine  peridotusher.EngineID
	Report  peridotusher.EngineReport
	Age     time.Duration // of the report
	Leaving bool          // whether the engine is leaving the fleet
}

// AdmissionHandler handles notifications from other routers about permits,
// chats and engines.
type AdmissionHandler interface {
	// HandleGrant receives an owner's decision on a queued request for a permit.
	HandleGrant(ctx context.Context, a peridotusher.Answer)
	// HandlePlacement receives the engine that holds a chat which its home engine could
	// not take.
	HandlePlacement(chat peridotusher.ChatKey, engine peridotusher.EngineID)
	// HandlePrefixEviction is called when an engine evicted a chat's prefix from its cache.
	HandlePrefixEviction(chat peridotusher.ChatKey, engine peridotusher.EngineID)
	// SetFacts receives the load reports of the sender's engines.
	SetFacts(facts []EngineFacts)
	// SetDemands replaces the demand of a router's callers for organisations
	// with a limit.
	SetDemands(from peridotusher.RouterID, demands []peridotusher.Demand)
}

// Grant sends the decision on a queued request for a permit to its ingress.
func (n *Node) Grant(ctx context.Context, to peridotusher.RouterID, a peridotusher.Answer) error {
	if to == n.Self.ID() && n.Admission != nil {
		n.Admission.HandleGrant(ctx, a)
		return nil
	}
	return n.Notify(ctx, to, KindGrant, n.answerToWire(a))
}

// SetPlacement notifies the owner of a chat's home engine that another engine holds
// the chat.
func (n *Node) SetPlacement(ctx context.Context, to peridotusher.RouterID, chat peridotusher.ChatKey, engine peridotusher.EngineID) error {
	return n.Notify(ctx, to, KindPlaced, &Placed{Chat: string(chat), Engine: string(engine)})
}

// Forgotten notifies the owner of a chat's home engine that an engine evicted
// the chat's prefix.
func (n *Node) Forgotten(ctx context.Context, to peridotusher.RouterID, chat peridotusher.ChatKey, engine peridotusher.EngineID) error {
	return n.Notify(ctx, to, KindPlaced, &Placed{Chat: string(chat), Engine: string(engine), Gone: true})
}

// SendFacts broadcasts the load reports of this router's engines.
func (n *Node) SendFacts(facts []EngineFacts) error {
	return n.broadcast(KindFacts, factsToWire(facts))
}

// SendDemands broadcasts the demand of this router's callers.
func (n *Node) SendDemands(demands []peridotusher.Demand) error {
	msg := &Demands{}
	for _, d := range demands {
		msg.Demands = append(msg.Demands, &Demand{Organisation: d.Organisation, Rate: float32(d.Rate), Concurrent: float32(d.Concurrent)})
	}
	return n.broadcast(KindDemands, msg)
}

// broadcast queues a message for every connected router whose outbox has a free
// slot. With sparse links it goes to this router's zone and over the links that
// this router holds; the holders of the other links forward it.
func (n *Node) broadcast(kind Kind, msg proto.Message) error {
	n.once.Do(n.init)
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if !n.sparse() {
		n.offerAll(n.sessions.all(), &Envelope{Kind: uint32(kind), Body: body})
		return nil
	}
	n.offerAll(n.ownZoneSessions(), &Envelope{Kind: uint32(kind), Body: body})
	n.offerAll(n.linkSessions(), &Envelope{Kind: uint32(kind), Body: body, Origin: string(n.Self.ID())})
	return nil
}

func (n *Node) handleDemands(_ context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg Demands
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	var demands []peridotusher.Demand
	for _, d := range msg.GetDemands() {
		demands = append(demands, peridotusher.Demand{Organisation: d.GetOrganisation(), Rate: float64(d.GetRate()), Concurrent: float64(d.GetConcurrent())})
	}
	if n.Admission != nil {
		n.Admission.SetDemands(from, demands)
	}
	return nil, nil
}

func (n *Node) handleGrant(ctx context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg AnswerPermit
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if n.Admission != nil {
		n.Admission.HandleGrant(ctx, answerFromWire(&msg, from))
	}
	return nil, nil
}

func (n *Node) handlePlaced(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg Placed
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	chat, engine := peridotusher.ChatKey(msg.GetChat()), peridotusher.EngineID(msg.GetEngine())
	switch {
	case n.Admission == nil:
	case msg.GetGone():
		n.Admission.HandlePrefixEviction(chat, engine)
	default:
		n.Admission.HandlePlacement(chat, engine)
	}
	return nil, nil
}

func (n *Node) handleFacts(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
	var msg Facts
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	if n.Admission != nil {
		n.Admission.SetFacts(factsFromWire(&msg))
	}
	return nil, nil
}

func factsToWire(facts []EngineFacts) *Facts {
	msg := &Facts{}
	for _, f := range facts {
		e := &LoadedEngine{Engine: string(f.Engine), Adapters: f.Report.Adapters, Role: f.Report.Role, Leaving: f.Leaving, Work: int64(f.Report.Work), Age: f.Age.Microseconds()}
		for _, v := range f.Report.Versions {
			e.Versions = append(e.Versions, &LoadedVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
		}
		msg.Engines = append(msg.Engines, e)
	}
	return msg
}

func factsFromWire(msg *Facts) []EngineFacts {
	var facts []EngineFacts
	for _, e := range msg.GetEngines() {
		f := EngineFacts{Engine: peridotusher.EngineID(e.GetEngine()), Leaving: e.GetLeaving(), Age: microseconds(e.GetAge())}
		f.Report = peridotusher.EngineReport{Work: int(e.GetWork()), Adapters: e.GetAdapters(), Role: e.GetRole()}
		for _, v := range e.GetVersions() {
			f.Report.Versions = append(f.Report.Versions, peridotusher.LoadedVersion{Model: v.GetModel(), Version: v.GetVersion(), Ready: v.GetReady()})
		}
		facts = append(facts, f)
	}
	return facts
}
