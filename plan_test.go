package peridotusher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/document"
)

// planStart is the start time of the tests' rollouts.
var planStart = time.Unix(1000, 0)

func planDocument(t *testing.T, model, policy string) *document.Document {
	t.Helper()
	text := "[policy]\n" + policy + "\n[class chat]\ndeadline = 30s\n[model m]\n" + model + "\n" +
		"[organisation o]\nkeys = " + document.HashKey("o") + "\n"
	doc, problems := document.Parse("plan.ini", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return doc
}

// planEngine returns an engine of zone a that holds the ready versions.
func planEngine(id string, versions ...string) PlannedEngine {
	e := PlannedEngine{ID: EngineID(id), Zone: "a", StateKnown: true}
	for _, v := range versions {
		e.Versions = append(e.Versions, HeldVersion{Model: "m", Version: v, Ready: true, Counted: true})
	}
	return e
}

func planLines(p Plan) []string {
	var lines []string
	for _, s := range p.Steps {
		lines = append(lines, s.String())
	}
	for _, h := range p.Holds {
		lines = append(lines, h.String())
	}
	for _, pause := range p.Pauses {
		lines = append(lines, "pause "+pause.Version+": "+pause.Cause)
	}
	return lines
}

func TestPlan(t *testing.T) {
	v1, v2 := ModelVersion{"m", "v1"}, ModelVersion{"m", "v2"}
	running := planEngine("e1", "v1", "v2")
	running.Versions[0].Running = 2
	uncounted := planEngine("e1", "v1", "v2")
	uncounted.Versions[0].Counted = false
	loading := planEngine("e1", "v1", "v2")
	loading.Versions[1].Ready = false
	unknown := planEngine("e2", "v1")
	unknown.StateKnown = false
	full := planEngine("e1", "v1", "v2")
	full.Work = 9
	otherZone := planEngine("f1", "v1")
	otherZone.Zone = "b"
	quiet := map[ModelVersion]time.Time{v1: planStart.Add(-20 * time.Second)}
	tests := []struct {
		name     string
		model    string
		observed Observed
		want     []string
	}{
		{
			"first wave on one engine", "versions = v2:100",
			Observed{Engines: []PlannedEngine{planEngine("e1", "v1"), planEngine("e2", "v1"), planEngine("e3", "v1"), otherZone}},
			[]string{
				"load m v2 on e1: too few engines hold the version",
				"hold m v1 on e1: the version still gets a share of the chats",
				"hold m v1 on e2: the version still gets a share of the chats",
				"hold m v1 on e3: the version still gets a share of the chats",
			},
		},
		{
			"one engine at a time while it loads", "versions = v1:90, v2:10",
			Observed{Engines: []PlannedEngine{loading, planEngine("e2", "v1"), planEngine("e3", "v1")}},
			[]string{"hold m v2: as many engines as allowed are loading (0 of the zone's engines ready)"},
		},
		{
			"soak before the next wave", "versions = v1:50, v2:50",
			Observed{
				Engines:   []PlannedEngine{planEngine("e1", "v1", "v2"), planEngine("e2", "v1"), planEngine("e3", "v1")},
				LastReady: map[ModelVersion]time.Time{v2: planStart.Add(-time.Second)},
			},
			[]string{"hold m v2: the last wave is not old enough (1 of the zone's engines ready)"},
		},
		{
			"an engine without known state does not block the plan", "versions = v1:50, v2:50",
			Observed{Engines: []PlannedEngine{planEngine("e1", "v1"), unknown}},
			[]string{
				"load m v2 on e1: too few engines hold the version",
				"hold m on e2: the engine gives no state",
			},
		},
		{
			"errors pause the rollout", "versions = v1:50, v2:50",
			Observed{
				Engines: []PlannedEngine{planEngine("e1", "v1", "v2"), planEngine("e2", "v1"), planEngine("e3", "v1")},
				Health:  map[ModelVersion]Health{v1: {Requests: 100, Errors: 1}, v2: {Requests: 20, Errors: 1}},
			},
			[]string{
				"hold m v2: the health gate has paused the rollout (errors 5.0% against 1.0%)",
				"pause v2: errors 5.0% against 1.0%",
			},
		},
		{
			"slow first tokens pause the rollout", "versions = v1:50, v2:50",
			Observed{
				Engines: []PlannedEngine{planEngine("e1", "v1", "v2"), planEngine("e2", "v1"), planEngine("e3", "v1")},
				Health: map[ModelVersion]Health{
					v1: {Requests: 100, FirstToken: 100 * time.Millisecond},
					v2: {Requests: 100, FirstToken: 160 * time.Millisecond},
				},
			},
			[]string{
				"hold m v2: the health gate has paused the rollout (first token after 160ms against 100ms)",
				"pause v2: first token after 160ms against 100ms",
			},
		},
		{
			"load beyond the bound pauses the rollout", "versions = v1:50, v2:50\nslots = 8",
			Observed{Engines: []PlannedEngine{full, planEngine("e2", "v1"), planEngine("e3", "v1")}},
			[]string{
				"hold m v2: the health gate has paused the rollout (engine e1 carries 9 work units)",
				"pause v2: engine e1 carries 9 work units",
			},
		},
		{
			"a drained version is unloaded", "versions = v2:100",
			Observed{Engines: []PlannedEngine{planEngine("e1", "v1", "v2"), planEngine("e2", "v1", "v2")}, NoShareSince: quiet},
			[]string{
				"unload m v1 on e1: the version is no longer in the document and has drained",
				"unload m v1 on e2: the version is no longer in the document and has drained",
			},
		},
		{
			"running work blocks the unload", "versions = v2:100",
			Observed{Engines: []PlannedEngine{running}, NoShareSince: quiet},
			[]string{"hold m v1 on e1: running work still needs the version (2 running)"},
		},
		{
			"without running counts the unload waits for the longest deadline", "versions = v2:100",
			Observed{Engines: []PlannedEngine{uncounted}, NoShareSince: quiet},
			[]string{"hold m v1 on e1: running work still needs the version (up to 10s)"},
		},
		{
			"the minimum of ready engines blocks the unload", "versions = v2:100\nreplicas = 2",
			Observed{Engines: []PlannedEngine{planEngine("e1", "v1"), planEngine("e2", "v2")}, NoShareSince: quiet, LastReady: map[ModelVersion]time.Time{v2: planStart}},
			[]string{
				"hold m v2: the last wave is not old enough (1 of the zone's engines ready)",
				"hold m v1 on e1: the model would have too few ready engines (2 ready, 2 needed)",
			},
		},
		{
			"an idle engine loads first", "versions = v1:100",
			Observed{Engines: []PlannedEngine{planEngine("e1", "v1"), planEngine("e2")}},
			[]string{"load m v1 on e2: the engine holds no model"},
		},
		{
			"adapters and role", "adapters = fine\nrole = decode",
			Observed{Engines: []PlannedEngine{planEngine("e1", "v1"), planEngine("e2", "v1"), planEngine("e3", "v1")}},
			[]string{
				"adapter m fine on e1: the engine lacks the adapter",
				"adapter m fine on e2: the engine lacks the adapter",
				"role m decode on e3: the engine has another role",
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner := &Planner{Document: planDocument(t, test.model, "")}
			test.observed.Now, test.observed.Zone = planStart, "a"
			if diff := cmp.Diff(test.want, planLines(planner.Plan(test.observed))); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPlanCompletesRollout applies plans until they are empty, for a rollout and its
// rollback. After each step all engines must have a ready version and no more than
// the allowed number may load.
func TestPlanCompletesRollout(t *testing.T) {
	const engines, loads = 7, 2
	state := make([]PlannedEngine, engines)
	for i := range state {
		state[i] = planEngine(fmt.Sprintf("e%d", i), "v1")
	}
	now := planStart
	progress := NewProgress()
	orders := map[string]int{}
	for _, version := range []string{"v2", "v1"} {
		doc := planDocument(t, "versions = "+version+":100\nreplicas = 7", fmt.Sprintf("loads = %d", loads))
		for tick := 0; ; tick++ {
			if tick == 500 {
				t.Fatalf("the rollout of %s does not end: %v", version, state)
			}
			now = now.Add(time.Second)
			progress.Observe(now, doc, "a", state, placementEngines(state))
			observed := Observed{Now: now, Zone: "a", Engines: state}
			progress.Fill(&observed)
			plan := (&Planner{Document: doc}).Plan(observed)
			if len(plan.Steps)+len(plan.Holds) == 0 {
				break
			}
			finishLoads(state)
			applySteps(state, plan.Steps, orders)
			checkInvariants(t, state, loads)
		}
	}
	want := map[string]int{"load v2": 7, "unload v1": 7, "load v1": 7, "unload v2": 7}
	if diff := cmp.Diff(want, orders); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

func placementEngines(state []PlannedEngine) []Engine {
	var engines []Engine
	for _, e := range state {
		engine := NewEngine(e.ID, e.Zone, "")
		for _, v := range e.Versions {
			engine.report.Versions = append(engine.report.Versions, LoadedVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
		}
		engines = append(engines, engine)
	}
	return engines
}

func finishLoads(state []PlannedEngine) {
	for _, e := range state {
		for i := range e.Versions {
			e.Versions[i].Ready = true
		}
	}
}

func applySteps(state []PlannedEngine, steps []Step, orders map[string]int) {
	for _, s := range steps {
		orders[string(s.Kind)+" "+s.Version]++
		for i := range state {
			if state[i].ID != s.Engine {
				continue
			}
			held := HeldVersion{Model: s.Model, Version: s.Version, Counted: true}
			if s.Kind == StepLoad {
				state[i].Versions = append(state[i].Versions, held)
				continue
			}
			var remaining []HeldVersion
			for _, v := range state[i].Versions {
				if v.Version != s.Version {
					remaining = append(remaining, v)
				}
			}
			state[i].Versions = remaining
		}
	}
}

func checkInvariants(t *testing.T, state []PlannedEngine, loads int) {
	t.Helper()
	ready, loading := 0, 0
	for _, e := range state {
		if e.isReady("m", anyVersion) {
			ready++
		}
		if e.isLoading("m") {
			loading++
		}
	}
	if ready < len(state) {
		t.Fatalf("%d engines ready, want %d", ready, len(state))
	}
	if loading > loads {
		t.Fatalf("%d engines load at once, want at most %d", loading, loads)
	}
}

func TestOrderIDDependsOnStepAndState(t *testing.T) {
	step := Step{Kind: StepLoad, Engine: "e1", Model: "m", Version: "v2"}
	same := step
	same.Reason = ReasonIdle
	if step.OrderID(7, "x") != same.OrderID(7, "x") {
		t.Error("the same step from the same state has two ids")
	}
	other := step
	other.Engine = "e2"
	for _, id := range []string{step.OrderID(8, "x"), step.OrderID(7, "y"), other.OrderID(7, "x")} {
		if id == step.OrderID(7, "x") {
			t.Errorf("another revision, state or engine has the id %s too", id)
		}
	}
}
