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
	// admissionTick is how often waits that ended are looked for.
	admissionTick = 20 * time.Millisecond
	// factsInterval is how often routers repeat what their engines have loaded.
	factsInterval = 5 * time.Second
	// renewalsPerExpiry is how often a permit is renewed during its expiry.
	renewalsPerExpiry = 3
	// defaultRenewal is the interval of renewals before the first configuration.
	defaultRenewal = 10 * time.Second
)

// buildAdmission joins the owner, the ingress and the links to the other routers.
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
		Record:    h.metrics.Permit,
		Limits:    &peridotusher.Limits{Self: self, Clock: h.Clock},
	}
	h.node.Permits = h.owner
	h.node.Admission = admission{host: h}
}

// runAdmission does what is due at times: waits that end, renewals, and news
// to the other routers.
func (h *Host) runAdmission(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return h.tickAdmission(ctx) })
	group.Go(func() error { return h.renewPermits(ctx) })
	group.Go(func() error { return h.spreadFacts(ctx) })
	group.Go(func() error {
		return every(ctx, loadInterval, func(context.Context) { h.applyListing() })
	})
	group.Go(func() error { return h.spreadDemands(ctx) })
	group.Go(func() error { return h.watchCaches(ctx) })
	return group.Wait()
}

func (h *Host) tickAdmission(ctx context.Context) error {
	return every(ctx, admissionTick, func(context.Context) { h.owner.Tick() })
}

// renewPermits reports held permits at a part of their expiry, and at once
// when the members changed.
func (h *Host) renewPermits(ctx context.Context) error {
	var renewed time.Time
	var version uint64
	return every(ctx, loadInterval, func(ctx context.Context) {
		now := h.Clock.Now()
		if v := h.members.Version(); v == version && now.Sub(renewed) < h.renewal() {
			return
		}
		version = h.members.Version()
		renewed = now
		h.ingress.Renew(ctx)
	})
}

func (h *Host) renewal() time.Duration {
	doc := h.Document()
	if doc == nil {
		return defaultRenewal
	}
	return doc.Policy().PermitExpiry() / renewalsPerExpiry
}

// spreadFacts tells the other routers what the engines of this router have
// loaded, when it changes, when the members change and now and then.
func (h *Host) spreadFacts(ctx context.Context) error {
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

// spreadDemands tells the other routers what the callers of limited
// organisations ask for here. The end of a demand is told once.
func (h *Host) spreadDemands(ctx context.Context) error {
	told := false
	return every(ctx, loadInterval, func(ctx context.Context) {
		demands := h.ingress.Limits.Demands()
		if len(demands) == 0 && !told {
			return
		}
		told = len(demands) > 0
		if err := h.node.SendDemands(demands); err != nil {
			h.Log.WithError(err).Error("demands not encoded")
		}
	})
}

// facts returns what the owned engines have loaded and which engines leave.
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

// sameFacts compares what is loaded; the loads change all the time.
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

// polls reports whether this router reads the engine's load: its owner does,
// and the deputy, which may have to take over.
func (h *Host) polls(e peridotusher.Engine) bool {
	if h.owns(e) {
		return true
	}
	deputy, ok := h.members.DeputyOf(e.ID(), e.Zone())
	return ok && deputy == peridotusher.RouterID(h.Name)
}

// admission takes what other routers tell.
type admission struct{ host *Host }

// HandleGrant implements peer.AdmissionHandler.
func (a admission) HandleGrant(ctx context.Context, answer peridotusher.Answer) {
	a.host.ingress.Granted(ctx, answer)
}

// HandlePlacement implements peer.AdmissionHandler.
func (a admission) HandlePlacement(chat peridotusher.ChatKey, engine peridotusher.EngineID) {
	a.host.owner.Placed(chat, engine)
}

// HandlePrefixEviction implements peer.AdmissionHandler.
func (a admission) HandlePrefixEviction(chat peridotusher.ChatKey, engine peridotusher.EngineID) {
	a.host.owner.Placements.Forget(chat, engine)
}

// SetFacts implements peer.AdmissionHandler. A leaving engine gets no new work
// from whichever router saw it first.
func (a admission) SetFacts(facts []peer.EngineFacts) {
	for _, f := range facts {
		if f.Leaving {
			a.host.engines.SetState(f.Engine, peridotusher.EngineLeaving)
		}
		e, ok := a.host.engines.Get(f.Engine)
		if ok && !a.host.polls(e) && len(f.Report.Versions) > 0 {
			f.Report.Sampled = a.host.Clock.Now().Add(-f.Age)
			a.host.engines.SetReport(f.Engine, f.Report)
		}
	}
}

// SetDemands implements peer.AdmissionHandler.
func (a admission) SetDemands(from peridotusher.RouterID, demands []peridotusher.Demand) {
	a.host.ingress.Limits.SetDemands(from, demands)
}

// loadNews gives the heartbeats the loads of the owned engines.
type loadNews struct{ ledger *peridotusher.Ledger }

// Loads implements peer.LoadSource.
func (n loadNews) Loads() []peridotusher.EngineLoad { return n.ledger.News() }

// withoutChat takes the chat off a request whose class has none, so that its
// prompt takes no place in an engine's cache.
func withoutChat(doc *document.Document, req peridotusher.Request) peridotusher.Request {
	if class, ok := doc.Class(req.Class); ok && !class.Chats() {
		req.Chat = ""
	}
	return req
}
