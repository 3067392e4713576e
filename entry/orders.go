package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/weights"
)

const (
	// planInterval is the time between two plans.
	planInterval = 500 * time.Millisecond
	// orderWorkers is the number of engines that are ordered or read back at once.
	orderWorkers = 8
	// stateTimeout bounds the reading back of one engine.
	stateTimeout = 2 * time.Second
)

// Weights is what the order-giver needs of the weight store.
type Weights interface {
	Reserve(ctx context.Context, model, version string) (weights.Ticket, error)
}

// orderedEngines is what the order-giver needs of the engines.
type orderedEngines interface {
	Order(ctx context.Context, address string, o engine.Order) (engine.OrderResult, error)
	State(ctx context.Context, address string) (engine.State, error)
}

// orderGiver gives the orders to the engines of one zone while it holds the
// zone's lease. Each round reads the engines' state back, plans from it and
// gives the steps, so that whatever a lost, late or stale order did is put
// right by the next round.
type orderGiver struct {
	zone     peridotusher.Zone
	lease    *orderLease
	store    Weights
	models   orderedEngines
	table    *peridotusher.Engines
	document func() *document.Document
	health   func() map[peridotusher.ModelVersion]peridotusher.Health
	clock    peridotusher.Clock
	log      logrus.FieldLogger
	count    func(event string) // counts orders by what became of them
	tickets  *loadTickets
	progress *peridotusher.Progress
	holds    string // the last holds in the log
}

// runEngines does this router's part of the care for the engines until ctx ends.
func (h *Host) runEngines(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range []func(context.Context) error{
		h.runOrders, h.reportHealth, h.watchReports, h.judgeEngines, h.careForEngines, h.warmEngines,
	} {
		group.Go(func() error { return part(ctx) })
	}
	return group.Wait()
}

// runOrders gives orders until ctx ends.
func (h *Host) runOrders(ctx context.Context) error {
	if h.Weights == nil || h.Leases == nil {
		return nil
	}
	giver := h.newOrderGiver()
	defer giver.lease.release()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.keepOrderLease(ctx, giver.lease) })
	group.Go(func() error { return every(ctx, planInterval, giver.round) })
	return group.Wait()
}

func (h *Host) newOrderGiver() *orderGiver {
	log := h.Log.WithField("zone", h.Zone)
	return &orderGiver{
		zone: peridotusher.Zone(h.Zone),
		lease: &orderLease{
			store:  h.Store,
			leases: h.Leases,
			key:    h.Prefix + "orders/" + h.Zone,
			name:   h.Name,
			clock:  h.Clock,
			log:    log,
		},
		store:    h.Weights,
		models:   h.models,
		table:    h.engines,
		document: h.Document,
		health:   h.versionHealth,
		clock:    h.Clock,
		log:      log,
		count:    h.metrics.Order,
		tickets:  newLoadTickets(h.Clock),
		progress: peridotusher.NewProgress(),
	}
}

// keepOrderLease renews or seeks the zone's lease until ctx ends.
func (h *Host) keepOrderLease(ctx context.Context, lease *orderLease) error {
	for {
		wait := planInterval
		if doc := h.Document(); doc != nil {
			ttl := doc.Policy().Rollout().Lease()
			lease.maintain(ctx, ttl, h.leadsZone())
			wait = ttl / leaseRenewals
		}
		if !pause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// leadsZone returns whether this router is the first or second choice for the
// work that one router does for the whole zone.
func (h *Host) leadsZone() bool {
	first, second := h.zoneLeaders(peridotusher.Zone(h.Zone))
	self := peridotusher.RouterID(h.Name)
	return first == self || second == self
}

// zoneLeaders returns the routers that do a zone's common work.
func (h *Host) zoneLeaders(zone peridotusher.Zone) (first, second peridotusher.RouterID) {
	key := peridotusher.EngineID("zone " + zone)
	first, _ = h.members.OwnerOf(key, zone)
	second, _ = h.members.DeputyOf(key, zone)
	return first, second
}

// round plans once and gives the steps.
func (g *orderGiver) round(ctx context.Context) {
	doc := g.document()
	held, ok := g.lease.current()
	if doc == nil || !ok {
		return
	}
	states := g.readBack(ctx)
	if ctx.Err() != nil {
		return
	}
	for _, s := range states {
		g.lease.raise(held.id, s.Fence())
	}
	if held, ok = g.lease.current(); !ok {
		return
	}
	plan := g.plan(doc, states)
	g.logHolds(plan)
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	for _, step := range plan.Steps {
		state, ok := states[step.Engine]
		if !ok {
			continue
		}
		group.Go(func() error {
			g.give(ctx, doc, held, step, state)
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
}

// plan observes the engines and returns the next steps.
func (g *orderGiver) plan(doc *document.Document, states map[peridotusher.EngineID]engine.State) peridotusher.Plan {
	now := g.clock.Now()
	live := g.table.Select(func(e peridotusher.Engine) bool { return e.State() == peridotusher.EngineLive })
	planned := g.planned(now, doc.Policy().Rollout().Stale(), states)
	g.progress.Observe(now, doc, g.zone, planned, live)
	observed := peridotusher.Observed{
		Now:     now,
		Zone:    g.zone,
		Engines: planned,
		Health:  g.health(),
	}
	g.progress.Fill(&observed)
	planner := &peridotusher.Planner{Document: doc}
	plan := planner.Plan(observed)
	for _, p := range plan.Pauses {
		g.log.WithFields(logrus.Fields{"model": p.Model, "version": p.Version, "cause": p.Cause}).Warn("rollout paused")
	}
	g.progress.Pause(plan.Pauses)
	return plan
}

// logHolds writes what the plan holds back whenever that changes.
func (g *orderGiver) logHolds(plan peridotusher.Plan) {
	text := ""
	for _, hold := range plan.Holds {
		text += string(hold.Engine) + hold.Version + string(hold.Reason)
	}
	if text == g.holds {
		return
	}
	g.holds = text
	for _, hold := range plan.Holds {
		g.log.WithFields(logrus.Fields{"model": hold.Model, "version": hold.Version, "engine": hold.Engine, "reason": hold.Reason, "detail": hold.Detail}).Info("order held back")
	}
}

// every calls fn at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func(ctx context.Context)) error {
	for {
		fn(ctx)
		if !pause.For(ctx, interval) {
			return ctx.Err()
		}
	}
}
