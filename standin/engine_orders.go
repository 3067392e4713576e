package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// engineOrder is the body of POST /orders.
type engineOrder struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// engineOrderAnswer is the answer of POST /orders.
type engineOrderAnswer struct {
	Applied  bool   `json:"applied"`
	Repeated bool   `json:"repeated"`
	Refused  bool   `json:"refused"`
	Fence    uint64 `json:"fence"`
}

// engineVersion is a model version on the wire.
type engineVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Running int    `json:"running"`
}

// engineState is the answer of GET /orders.
type engineState struct {
	Versions []engineVersion `json:"versions"`
	Adapters []string        `json:"adapters"`
	Role     string          `json:"role"`
	Leaving  bool            `json:"leaving"`
	Fence    uint64          `json:"fence"`
	Orders   []string        `json:"orders"`
}

// engineLoaded is a loaded model version with the time from which it can serve.
type engineLoaded struct {
	EngineModel
	ready time.Time
}

// engineOrders is the state that results from the applied orders. The Engine's mu
// guards it.
type engineOrders struct {
	servesAll bool // serves every model
	loaded    []engineLoaded
	adapters  []string
	role      string
	leaving   bool
	fence     uint64
	applied   []string
}

// version returns the version that a new request to the model runs on.
func (o *engineOrders) version(model, version string, now time.Time) string {
	for _, l := range o.loaded {
		if version == "" && l.Model == model && !l.ready.After(now) {
			return l.Version
		}
	}
	return version
}

// init sets the models that are loaded at the start.
func (o *engineOrders) init(models []EngineModel, now time.Time) {
	o.servesAll = len(models) == 0
	for _, m := range models {
		o.loaded = append(o.loaded, engineLoaded{m, now})
	}
}

// serves returns whether a new request to the model can run.
func (o *engineOrders) serves(model, version string, now time.Time) bool {
	if o.leaving {
		return false
	}
	if o.servesAll {
		return true
	}
	return slices.ContainsFunc(o.loaded, func(l engineLoaded) bool {
		return l.Model == model && (version == "" || l.Version == version) && !l.ready.After(now)
	})
}

// process applies an order unless it was applied before or, if checks is set, has an
// outdated fencing number.
func (o *engineOrders) process(order engineOrder, checks bool, ready time.Time) engineOrderAnswer {
	if slices.Contains(o.applied, order.ID) {
		return engineOrderAnswer{Repeated: true, Fence: o.fence}
	}
	if checks && order.Fence < o.fence {
		return engineOrderAnswer{Refused: true, Fence: o.fence}
	}
	o.fence = max(o.fence, order.Fence)
	o.apply(order, ready)
	o.applied = append(o.applied, order.ID)
	return engineOrderAnswer{Applied: true, Fence: o.fence}
}

// apply changes what the engine serves.
func (o *engineOrders) apply(order engineOrder, ready time.Time) {
	model := EngineModel{order.Model, order.Version}
	isModel := func(l engineLoaded) bool { return l.EngineModel == model }
	isAdapter := func(a string) bool { return a == order.Adapter }
	switch order.Kind {
	case "load":
		if !slices.ContainsFunc(o.loaded, isModel) {
			o.loaded = append(o.loaded, engineLoaded{model, ready})
		}
	case "unload":
		o.loaded = slices.DeleteFunc(o.loaded, isModel)
	case "adapter":
		if !slices.ContainsFunc(o.adapters, isAdapter) {
			o.adapters = append(o.adapters, order.Adapter)
		}
	case "unadapter":
		o.adapters = slices.DeleteFunc(o.adapters, isAdapter)
	case "role":
		o.role = order.Role
	case "leave":
		o.leaving = true
	}
}

// versions returns the loaded versions with their readiness at the given time.
func (o *engineOrders) versions(now time.Time) []engineVersion {
	versions := []engineVersion{}
	for _, l := range o.loaded {
		versions = append(versions, engineVersion{Model: l.Model, Version: l.Version, Ready: !l.ready.After(now)})
	}
	return versions
}

// versions returns the loaded versions with the number of requests running on each.
// The caller holds e.mu.
func (e *Engine) versions(now time.Time) []engineVersion {
	versions := e.orders.versions(now)
	for _, run := range e.runs {
		for i := range versions {
			if !run.ended && versions[i].Model == run.model && versions[i].Version == run.version {
				versions[i].Running++
			}
		}
	}
	return versions
}

// stopRuns cancels the requests that run on an unloaded version.
func (e *Engine) stopRuns(model EngineModel) {
	for _, run := range e.runs {
		if run.model == model.Model && run.version == model.Version && !run.ended {
			e.cancelRun(run)
			e.stats.UnloadCanceled++
		}
	}
}

// serveOrder processes one order.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.ID == "" {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	answer := e.orders.process(order, e.ChecksFence, e.Clock.Now().Add(e.LoadTime))
	if answer.Applied && order.Kind == "unload" {
		e.stopRuns(EngineModel{order.Model, order.Version})
	}
	e.stats.count(answer, order)
	lost := e.faults.orderAnswersToLose > 0
	if lost {
		e.faults.orderAnswersToLose--
	}
	e.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, engineJSON(answer))
}

// serveState returns the state that results from the applied orders.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := engineState{
		Versions: e.versions(e.Clock.Now()),
		Adapters: slices.Clone(e.orders.adapters),
		Role:     e.orders.role,
		Leaving:  e.orders.leaving,
		Fence:    e.orders.fence,
		Orders:   slices.Clone(e.orders.applied),
	}
	e.mu.Unlock()
	fmt.Fprint(w, engineJSON(state))
}
