package entry

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/peer"
)

const (
	// admissionInterval is the time between two checks for queued requests whose
	// wait has ended.
	admissionInterval = 20 * time.Millisecond
	// factsInterval is the time after which unchanged engine facts are sent again.
	factsInterval = 5 * time.Second
	// renewalsPerExpiry is the number of renewals during a permit's expiry time.
	renewalsPerExpiry = 3
	// defaultRenewalInterval applies before the first configuration.
	defaultRenewalInterval = 10 * time.Second
)

// buildAdmission creates the owner and the ingress and connects them to the peer
// node.
func (h *Host) buildAdmission(placer *peridotusher.Placer) {
	self := peridotusher.RouterID(h.Name)
	h.owner = &peridotusher.Owner{
		Self:       self,
		Placer:     placer,
		Ledger:     h.ledger,
		Queue:      peridotusher.NewQueue(),
		Placements: peridotusher.NewPlacements(),
		Ownership:  h.members,
		Peers:      h.node,
		Document:   h.Document,
		Clock:      h.Clock,
	}
	h.ingress = &peridotusher.Ingress{
		Self:      self,
		Ownership: h.members,
		Engines:   h.engines,
		Placer:    placer,
		Local:     h.owner,
		Peers:     h.node,
		Clock:     h.Clock,
		Record:    h.metrics.RecordPermit,
		Limits:    &peridotusher.Limits{Self: self, Clock: h.Clock},
	}
	h.node.Permits = h.owner
	h.node.Admission = admissionHandler{host: h}
}

// runAdmission runs the periodic tasks of admission until ctx ends: ending waits,
// renewing permits, and sending facts and demands to the other routers.
func (h *Host) runAdmission(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return h.tickAdmission(ctx) })
	group.Go(func() error { return h.renewPermits(ctx) })
	group.Go(func() error { return h.broadcastFacts(ctx) })
	group.Go(func() error {
		return every(ctx, loadInterval, func(context.Context) { h.applyListing() })
	})
	group.Go(func() error { return h.broadcastDemands(ctx) })
	group.Go(func() error { return h.watchCaches(ctx) })
	return group.Wait()
}

func (h *Host) tickAdmission(ctx context.Context) error {
	return every(ctx, admissionInterval, func(context.Context) { h.owner.Tick() })
}

// renewPermits reports held permits to the engines' owners several times during
// their expiry time, and at once when the members change.
func (h *Host) renewPermits(ctx context.Context) error {
	var renewed time.Time
	var version uint64
	return every(ctx, loadInterval, func(ctx context.Context) {
		now := h.Clock.Now()
		if v := h.members.Version(); v == version && now.Sub(renewed) < h.renewalInterval() {
			return
		}
		version = h.members.Version()
		renewed = now
		h.ingress.Renew(ctx)
	})
}

func (h *Host) renewalInterval() time.Duration {
	doc := h.Document()
	if doc == nil {
		return defaultRenewalInterval
	}
	return doc.Policy().PermitExpiry() / renewalsPerExpiry
}

// broadcastFacts sends the other routers what the engines owned by this one have
// loaded: when it changes, when the members change, and every factsInterval.
func (h *Host) broadcastFacts(ctx context.Context) error {
	var sent time.Time
	var version uint64
	var last []peer.EngineFacts
	return every(ctx, loadInterval, func(ctx context.Context) {
		facts := h.facts()
		now := h.Clock.Now()
		v := h.members.Version()
		if v == version && now.Sub(sent) < factsInterval && sameFacts(facts, last) {
			return
		}
		if err := h.node.SendFacts(facts); err != nil {
			h.Log.WithError(err).Error("engine facts not encoded")
		}
		version, sent, last = v, now, facts
	})
}

// broadcastDemands sends the other routers the demand at this router of the
// organisations that have limits. The end of all demand is sent once, as an empty
// list.
func (h *Host) broadcastDemands(ctx context.Context) error {
	sentDemands := false
	return every(ctx, loadInterval, func(ctx context.Context) {
		demands := h.ingress.Limits.Demands()
		if len(demands) == 0 && !sentDemands {
			return
		}
		sentDemands = len(demands) > 0
		if err := h.node.SendDemands(demands); err != nil {
			h.Log.WithError(err).Error("demands not encoded")
		}
	})
}

// facts returns what the owned engines have loaded, and which engines, owned or
// not, are leaving.
func (h *Host) facts() []peer.EngineFacts {
	var facts []peer.EngineFacts
	for _, e := range h.engines.All() {
		report, reported := e.Report()
		leaving := e.State() == peridotusher.EngineLeaving
		if !leaving && (!reported || !h.owns(e)) {
			continue
		}
		facts = append(facts, peer.EngineFacts{Engine: e.ID(), Report: report, Age: h.Clock.Now().Sub(report.Sampled), Leaving: leaving})
	}
	return facts
}

// sameFacts compares what is loaded and which engines are leaving. It ignores the
// load, which changes all the time.
func sameFacts(a, b []peer.EngineFacts) bool {
	return slices.EqualFunc(a, b, func(x, y peer.EngineFacts) bool {
		return x.Engine == y.Engine && x.Leaving == y.Leaving && slices.Equal(x.Report.Versions, y.Report.Versions) && slices.Equal(x.Report.Adapters, y.Report.Adapters)
	})
}

// owns reports whether this router is the engine's owner.
func (h *Host) owns(e peridotusher.Engine) bool {
	owner, ok := h.members.OwnerOf(e.ID(), e.Zone())
	return ok && owner == peridotusher.RouterID(h.Name)
}

// pollsLoad reports whether this router polls the engine's load report. The owner
// does, and so does the deputy, because it may have to take over.
func (h *Host) pollsLoad(e peridotusher.Engine) bool {
	if h.owns(e) {
		return true
	}
	deputy, ok := h.members.DeputyOf(e.ID(), e.Zone())
	return ok && deputy == peridotusher.RouterID(h.Name)
}

// admissionHandler handles the admission messages of other routers.
type admissionHandler struct{ host *Host }

// HandleGrant implements peer.AdmissionHandler.
func (a admissionHandler) HandleGrant(ctx context.Context, answer peridotusher.Answer) {
	a.host.ingress.ReceiveDecision(ctx, answer)
}

// HandlePlacement implements peer.AdmissionHandler.
func (a admissionHandler) HandlePlacement(chat peridotusher.ChatKey, engine peridotusher.EngineID) {
	a.host.owner.SetPlacement(chat, engine)
}

// HandlePrefixEviction implements peer.AdmissionHandler.
func (a admissionHandler) HandlePrefixEviction(chat peridotusher.ChatKey, engine peridotusher.EngineID) {
	a.host.owner.Placements.Forget(chat, engine)
}

// SetFacts implements peer.AdmissionHandler. An engine that any router reports as
// leaving gets no new work from this one either.
func (a admissionHandler) SetFacts(facts []peer.EngineFacts) {
	for _, f := range facts {
		if f.Leaving {
			a.host.engines.SetState(f.Engine, peridotusher.EngineLeaving)
		}
		e, ok := a.host.engines.Get(f.Engine)
		if ok && !a.host.pollsLoad(e) && len(f.Report.Versions) > 0 {
			f.Report.Sampled = a.host.Clock.Now().Add(-f.Age)
			a.host.engines.SetReport(f.Engine, f.Report)
		}
	}
}

// SetDemands implements peer.AdmissionHandler.
func (a admissionHandler) SetDemands(from peridotusher.RouterID, demands []peridotusher.Demand) {
	a.host.ingress.Limits.SetDemands(from, demands)
}

// ownedLoads supplies the loads of the owned engines for heartbeats.
type ownedLoads struct{ ledger *peridotusher.Ledger }

// Loads implements peer.LoadSource.
func (n ownedLoads) Loads() []peridotusher.EngineLoad { return n.ledger.MinLoads() }

// withoutChat removes the chat key from a request whose class has no chats, so
// that its prompt does not use space in an engine's cache.
func withoutChat(doc *document.Document, req peridotusher.Request) peridotusher.Request {
	if class, ok := doc.Class(req.Class); ok && !class.Chats() {
		req.Chat = ""
	}
	return req
}
