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
	// maxConcurrentEngineCalls bounds the engines whose state is read, or that are
	// sent orders, concurrently.
	maxConcurrentEngineCalls = 8
	// stateTimeout bounds the wait for one engine's state.
	stateTimeout = 2 * time.Second
)

// Weights is the part of the weight store's client that an orderController uses.
type Weights interface {
	Reserve(ctx context.Context, model, version string) (weights.Ticket, error)
}

// orderClient is the part of the engine client that an orderController uses.
type orderClient interface {
	Order(ctx context.Context, address string, o engine.Order) (engine.OrderResult, error)
	State(ctx context.Context, address string) (engine.State, error)
}

// orderController sends orders to the engines of one zone while it holds the zone's
// lease. It repeats a reconcile loop: read the engines' state, plan the next steps
// and send them as orders. Lost, late and stale orders are thus corrected by the
// next round.
type orderController struct {
	zone         peridotusher.Zone
	lease        *orderLease
	weights      Weights
	engineClient orderClient
	engines      *peridotusher.Engines
	document     func() *document.Document
	health       func() map[peridotusher.ModelVersion]peridotusher.Health
	clock        peridotusher.Clock
	log          logrus.FieldLogger
	countOrder   func(result string) // counts orders by result
	tickets      *loadTickets
	progress     *peridotusher.Progress
	loggedHolds  string // the holds that were logged last, as one string
}

// runEngineTasks runs this router's tasks for the engines until ctx ends: sending
// orders, reporting health, ejecting, migrating prefixes and warming up.
func (h *Host) runEngineTasks(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, task := range []func(context.Context) error{
		h.runOrders, h.reportHealth, h.ejectStaleEngines, h.detectOutliers, h.migratePrefixes, h.warmUpEngines,
	} {
		group.Go(func() error { return task(ctx) })
	}
	return group.Wait()
}

// runOrders sends orders to the zone's engines until ctx ends, whenever this router
// holds the zone's lease.
func (h *Host) runOrders(ctx context.Context) error {
	if h.Weights == nil || h.Leases == nil {
		return nil
	}
	controller := h.newOrderController()
	defer controller.lease.release()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.maintainOrderLease(ctx, controller.lease) })
	group.Go(func() error { return every(ctx, planInterval, controller.reconcile) })
	return group.Wait()
}

func (h *Host) newOrderController() *orderController {
	log := h.Log.WithField("zone", h.Zone)
	return &orderController{
		zone: peridotusher.Zone(h.Zone),
		lease: &orderLease{
			store:  h.Store,
			leases: h.Leases,
			key:    h.Prefix + "orders/" + h.Zone,
			name:   h.Name,
			clock:  h.Clock,
			log:    log,
		},
		weights:      h.Weights,
		engineClient: h.engineClient,
		engines:      h.engines,
		document:     h.Document,
		health:       h.versionHealth,
		clock:        h.Clock,
		log:          log,
		countOrder:   h.metrics.RecordOrder,
		tickets:      newLoadTickets(h.Clock),
		progress:     peridotusher.NewProgress(),
	}
}

// maintainOrderLease renews the zone's lease or tries to acquire it, until ctx ends.
func (h *Host) maintainOrderLease(ctx context.Context, lease *orderLease) error {
	for {
		wait := planInterval
		if doc := h.Document(); doc != nil {
			ttl := doc.Policy().Rollout().Lease()
			lease.maintain(ctx, ttl, h.isZoneLeader())
			wait = ttl / leaseRenewals
		}
		if !pause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// isZoneLeader returns whether this router is the first or second choice for the
// tasks that one router does for the entire zone.
func (h *Host) isZoneLeader() bool {
	first, second := h.zoneLeaders(peridotusher.Zone(h.Zone))
	self := peridotusher.RouterID(h.Name)
	return first == self || second == self
}

// zoneLeaders returns the first and second choice for the tasks that one router
// does for an entire zone.
func (h *Host) zoneLeaders(zone peridotusher.Zone) (first, second peridotusher.RouterID) {
	key := peridotusher.EngineID("zone " + zone)
	first, _ = h.members.OwnerOf(key, zone)
	second, _ = h.members.DeputyOf(key, zone)
	return first, second
}

// reconcile reads the engines' state once, plans, and sends the steps as orders.
func (c *orderController) reconcile(ctx context.Context) {
	doc := c.document()
	held, ok := c.lease.current()
	if doc == nil || !ok {
		return
	}
	states := c.readStates(ctx)
	if ctx.Err() != nil {
		return
	}
	for _, s := range states {
		c.lease.raiseFence(held.id, s.Fence())
	}
	if held, ok = c.lease.current(); !ok {
		return
	}
	plan := c.plan(doc, states)
	c.logHolds(plan)
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngineCalls)
	for _, step := range plan.Steps {
		state, ok := states[step.Engine]
		if !ok {
			continue
		}
		group.Go(func() error {
			c.sendOrder(ctx, doc, held, step, state)
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
}

// plan returns the next steps for the observed state, and updates the progress of
// the rollouts.
func (c *orderController) plan(doc *document.Document, states map[peridotusher.EngineID]engine.State) peridotusher.Plan {
	now := c.clock.Now()
	live := c.engines.Select(func(e peridotusher.Engine) bool { return e.State() == peridotusher.EngineLive })
	planned := c.plannedEngines(now, doc.Policy().Rollout().MaxReportAge(), states)
	c.progress.Observe(now, doc, c.zone, planned, live)
	observed := peridotusher.Observed{
		Now:     now,
		Zone:    c.zone,
		Engines: planned,
		Health:  c.health(),
	}
	c.progress.Fill(&observed)
	planner := &peridotusher.Planner{Document: doc}
	plan := planner.Plan(observed)
	for _, p := range plan.Pauses {
		c.log.WithFields(logrus.Fields{"model": p.Model, "version": p.Version, "cause": p.Cause}).Warn("rollout paused")
	}
	c.progress.Pause(plan.Pauses)
	return plan
}

// logHolds logs the orders that the plan holds back, whenever they change.
func (c *orderController) logHolds(plan peridotusher.Plan) {
	text := ""
	for _, hold := range plan.Holds {
		text += string(hold.Engine) + hold.Version + string(hold.Reason)
	}
	if text == c.loggedHolds {
		return
	}
	c.loggedHolds = text
	for _, hold := range plan.Holds {
		c.log.WithFields(logrus.Fields{"model": hold.Model, "version": hold.Version, "engine": hold.Engine, "reason": hold.Reason, "detail": hold.Detail}).Info("order held back")
	}
}

// every calls fn at once and then after each interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func(ctx context.Context)) error {
	for {
		fn(ctx)
		if !pause.For(ctx, interval) {
			return ctx.Err()
		}
	}
}
