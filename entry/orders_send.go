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

// The results by which orders are counted. With reservationLimited the order was not
// sent, because the weight store limits the rate of reservations.
const (
	orderApplied       = "applied"
	orderRepeated      = "repeated"
	orderRefused       = "refused"
	orderUnknown       = "unknown"
	orderAborted       = "aborted"
	reservationLimited = "limited"
)

// orderKinds maps the planner's kinds of steps to the engines' kinds of orders.
var orderKinds = map[peridotusher.StepKind]engine.OrderKind{
	peridotusher.StepLoad:      engine.OrderLoad,
	peridotusher.StepUnload:    engine.OrderUnload,
	peridotusher.StepAdapter:   engine.OrderAdapter,
	peridotusher.StepUnadapter: engine.OrderUnadapter,
	peridotusher.StepRole:      engine.OrderRole,
}

// sendOrder sends the order of one step. If the engine does not respond, the next
// round finds out from the engine's state whether the order was applied.
func (c *orderController) sendOrder(ctx context.Context, doc *document.Document, held heldLease, step peridotusher.Step, state engine.State) {
	policy := doc.Policy().Rollout()
	model, _ := doc.Model(step.Model)
	if !held.mayOrder(c.clock.Now(), model.Fencing(), policy) {
		return
	}
	if step.Kind == peridotusher.StepLoad && !c.reserve(ctx, step) {
		return
	}
	e, ok := c.engines.Get(step.Engine)
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
		Check:   func() error { return c.lease.check(held.id) },
	}
	ctx, cancel := context.WithTimeout(ctx, policy.OrderTimeout())
	defer cancel()
	result, err := c.engineClient.Order(ctx, e.Address(), order)
	c.recordResult(step, order, result, err)
}

// recordResult counts and logs the result of an order.
func (c *orderController) recordResult(step peridotusher.Step, order engine.Order, result engine.OrderResult, err error) {
	name := orderResult(result, err)
	c.countOrder(name)
	if name == orderApplied || name == orderRepeated {
		c.tickets.remove(step)
	}
	entry := c.log.WithFields(logrus.Fields{
		"order":   order.ID,
		"fence":   order.Fence,
		"kind":    order.Kind,
		"engine":  step.Engine,
		"model":   step.Model,
		"version": step.Version,
		"reason":  step.Reason,
		"result":  name,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order given")
}

// orderResult returns the name of an order's result in metrics and logs.
func orderResult(result engine.OrderResult, err error) string {
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

// reserve reports whether the engine may load the version now. That takes a ticket of
// the weight store, which reserve requests if the step has none.
func (c *orderController) reserve(ctx context.Context, step peridotusher.Step) bool {
	if c.tickets.has(step) {
		return true
	}
	if c.tickets.rateLimited() {
		return false
	}
	ticket, err := c.weights.Reserve(ctx, step.Model, step.Version)
	var limited *weights.RateLimitedError
	if errors.As(err, &limited) {
		c.countOrder(reservationLimited)
		c.tickets.delay(limited.RetryAfter())
		return false
	}
	if err != nil {
		c.log.WithError(err).WithFields(logrus.Fields{"model": step.Model, "version": step.Version}).Warn("reservation at the weight store failed")
		return false
	}
	c.tickets.put(step, ticket)
	return true
}

// loadTickets holds the weight store's tickets for reservations until their orders are
// applied, and the time before which the weight store accepts no further request.
type loadTickets struct {
	clock peridotusher.Clock

	mu        sync.Mutex
	notBefore time.Time
	tickets   map[peridotusher.Step]weights.Ticket
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

func (t *loadTickets) remove(step peridotusher.Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tickets, step)
}

func (t *loadTickets) rateLimited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now().Before(t.notBefore)
}

func (t *loadTickets) delay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notBefore = t.clock.Now().Add(d)
}
