package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/weights"
)

// The events that orders are counted by.
const (
	orderApplied  = "applied"
	orderRepeated = "repeated"
	orderRefused  = "refused"
	orderUnknown  = "unknown"
	orderAborted  = "aborted"
	weightLimited = "limited"
)

// orderKinds are the engines' names of the steps.
var orderKinds = map[peridotusher.StepKind]engine.OrderKind{
	peridotusher.StepLoad:      engine.OrderLoad,
	peridotusher.StepUnload:    engine.OrderUnload,
	peridotusher.StepAdapter:   engine.OrderAdapter,
	peridotusher.StepUnadapter: engine.OrderUnadapter,
	peridotusher.StepRole:      engine.OrderRole,
}

// give sends one step's order. An order without an answer is settled by the
// next round, which reads the engine's state back.
func (g *orderGiver) give(ctx context.Context, doc *document.Document, held heldLease, step peridotusher.Step, state engine.State) {
	policy := doc.Policy().Rollout()
	model, _ := doc.Model(step.Model)
	if !held.mayOrder(g.clock.Now(), model.Fencing(), policy) {
		return
	}
	if step.Kind == peridotusher.StepLoad && !g.reserve(ctx, step) {
		return
	}
	e, ok := g.table.Get(step.Engine)
	if !ok {
		return
	}
	order := engine.Order{
		ID:      step.OrderID(doc.Revision(), lastOrder(state)),
		Fence:   held.fence,
		Kind:    orderKinds[step.Kind],
		Model:   step.Model,
		Version: step.Version,
		Adapter: step.Adapter,
		Role:    step.Role,
		Check:   func() error { return g.lease.check(held.id) },
	}
	ctx, cancel := context.WithTimeout(ctx, policy.Flight())
	defer cancel()
	result, err := g.models.Order(ctx, e.Address(), order)
	g.record(step, order, result, err)
}

// record counts and logs what became of an order.
func (g *orderGiver) record(step peridotusher.Step, order engine.Order, result engine.OrderResult, err error) {
	event := orderEvent(result, err)
	g.count(event)
	if event == orderApplied || event == orderRepeated {
		g.tickets.use(step)
	}
	entry := g.log.WithFields(logrus.Fields{
		"order":   order.ID,
		"fence":   order.Fence,
		"kind":    order.Kind,
		"engine":  step.Engine,
		"model":   step.Model,
		"version": step.Version,
		"reason":  step.Reason,
		"result":  event,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order given")
}

func orderEvent(result engine.OrderResult, err error) string {
	switch {
	case errors.Is(err, errNoLease):
		return orderAborted
	case err != nil:
		return orderUnknown
	case result.Refused:
		return orderRefused
	case result.Repeated:
		return orderRepeated
	default:
		return orderApplied
	}
}

// lastOrder returns the id of the last order that the engine has applied.
func lastOrder(state engine.State) string {
	orders := state.Orders()
	if len(orders) == 0 {
		return ""
	}
	return orders[len(orders)-1]
}

// reserve returns whether the weight store lets the engine load the version.
func (g *orderGiver) reserve(ctx context.Context, step peridotusher.Step) bool {
	if g.tickets.has(step) {
		return true
	}
	if g.tickets.waits() {
		return false
	}
	ticket, err := g.store.Reserve(ctx, step.Model, step.Version)
	var limited *weights.RateLimitedError
	if errors.As(err, &limited) {
		g.count(weightLimited)
		g.tickets.wait(limited.RetryAfter())
		return false
	}
	if err != nil {
		g.log.WithError(err).WithFields(logrus.Fields{"model": step.Model, "version": step.Version}).Warn("weights not reserved")
		return false
	}
	g.tickets.put(step, ticket)
	return true
}

// loadTickets keeps the weight store's reservations until their orders are
// settled, and its request to wait.
type loadTickets struct {
	clock peridotusher.Clock

	mu      sync.Mutex
	after   time.Time
	tickets map[peridotusher.Step]weights.Ticket
}

func newLoadTickets(clock peridotusher.Clock) *loadTickets {
	return &loadTickets{clock: clock, tickets: map[peridotusher.Step]weights.Ticket{}}
}

func (t *loadTickets) has(step peridotusher.Step) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.tickets[step]
	return ok
}

func (t *loadTickets) put(step peridotusher.Step, ticket weights.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tickets[step] = ticket
}

func (t *loadTickets) use(step peridotusher.Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tickets, step)
}

func (t *loadTickets) waits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now().Before(t.after)
}

func (t *loadTickets) wait(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.after = t.clock.Now().Add(d)
}
