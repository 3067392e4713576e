package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// OrderKind is what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoad      OrderKind = "load"
	OrderUnload    OrderKind = "unload"
	OrderAdapter   OrderKind = "adapter"
	OrderUnadapter OrderKind = "unadapter"
	OrderRole      OrderKind = "role"
	OrderLeave     OrderKind = "leave"
)

// Order is a command to an engine to change what it serves. An engine applies an
// order of the same ID only once.
type Order struct {
	ID      string
	Fence   uint64 // fencing number; an engine that checks it refuses a stale one
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	Role    string
	Check   func() error // runs right before the first byte is written; an error aborts the order
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	Applied  bool
	Repeated bool   // the engine applied an order of this ID before
	Refused  bool   // the fencing number is lower than the engine's
	Fence    uint64 // the highest fencing number that the engine has seen
}

// orderBody is the body of POST /orders.
type orderBody struct {
	ID      string    `json:"id"`
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// orderAnswer is the answer of POST /orders.
type orderAnswer struct {
	Applied  bool   `json:"applied"`
	Repeated bool   `json:"repeated"`
	Refused  bool   `json:"refused"`
	Fence    uint64 `json:"fence"`
}

// Order sends one order to an engine.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderResult, error) {
	body, err := json.Marshal(orderBody{
		ID: o.ID, Fence: o.Fence, Kind: o.Kind,
		Model: o.Model, Version: o.Version, Adapter: o.Adapter, Role: o.Role,
	})
	if err != nil {
		return OrderResult{}, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseBadRequest, err)
	}
	r := service.Request{Method: http.MethodPost, Path: "/orders", Body: body, Fence: o.Fence, Check: o.Check}
	var answer orderAnswer
	if err := c.callJSON(ctx, address, r, &answer); err != nil {
		return OrderResult{}, err
	}
	return OrderResult(answer), nil
}

// stateAnswer is the answer of GET /orders.
type stateAnswer struct {
	Versions []LoadedVersion `json:"versions"`
	Adapters []string        `json:"adapters"`
	Role     string          `json:"role"`
	Leaving  bool            `json:"leaving"`
	Fence    uint64          `json:"fence"`
	Orders   []string        `json:"orders"`
}

// State is what an engine serves after the orders that it applied.
type State struct {
	wire stateAnswer
}

// Versions returns the model versions that the engine has loaded or is loading.
func (s State) Versions() []LoadedVersion { return s.wire.Versions }

// Adapters returns the adapters that the engine has loaded.
func (s State) Adapters() []string { return s.wire.Adapters }

// Role returns the engine's role.
func (s State) Role() string { return s.wire.Role }

// Leaving reports whether the engine was ordered to leave.
func (s State) Leaving() bool { return s.wire.Leaving }

// Fence returns the highest fencing number that the engine has seen.
func (s State) Fence() uint64 { return s.wire.Fence }

// Orders returns the ids of the applied orders, oldest first.
func (s State) Orders() []string { return s.wire.Orders }

// State requests an engine's state.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	r := service.Request{Method: http.MethodGet, Path: "/orders", Idempotent: true}
	err := c.callJSON(ctx, address, r, &state.wire)
	return state, err
}
