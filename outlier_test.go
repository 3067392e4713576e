package peridotusher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// zoneOutcomes returns healthy outcomes of the class for each engine.
func zoneOutcomes(class string, engines ...EngineID) []EngineOutcome {
	var outcomes []EngineOutcome
	for _, id := range engines {
		outcomes = append(outcomes, EngineOutcome{
			OutcomeKey: OutcomeKey{Engine: id, Model: "m", Class: class},
			Requests:   20, Answered: 20, FirstToken: 20 * 100 * time.Millisecond,
		})
	}
	return outcomes
}

func outlierEngines() []Engine {
	return placementEngines([]PlannedEngine{planEngine("e1", "v1"), planEngine("e2", "v1"), planEngine("e3", "v1"), planEngine("e4", "v1"), planEngine("e5", "v1")})
}

func TestOutlierEjection(t *testing.T) {
	policy := planDocument(t, "", "").Policy().Rollout()
	tests := []struct {
		name   string
		change func(o []EngineOutcome)
		want   []OutlierChange
	}{
		{"all alike", func([]EngineOutcome) {}, nil},
		{"errors", func(o []EngineOutcome) { o[1].Errors = 5 }, []OutlierChange{{"e2", OutlierEject, "class chat: errors 25% against 0%"}}},
		{"errors everywhere", func(o []EngineOutcome) {
			for i := range o {
				o[i].Errors = 10
			}
		}, nil},
		{"slow", func(o []EngineOutcome) { o[0].FirstToken *= 4 }, []OutlierChange{{"e1", OutlierEject, "class chat: first token after 400ms against 100ms"}}},
		{"another class is slow", func(o []EngineOutcome) { o[0].Class = "report"; o[0].FirstToken *= 4 }, nil},
		{"another version is slow", func(o []EngineOutcome) { o[0].Version = "v2"; o[0].FirstToken *= 4 }, nil},
		{"too few requests", func(o []EngineOutcome) { o[0].Requests, o[0].Errors = 9, 9 }, nil},
		{"limited share of ejected engines", func(o []EngineOutcome) { o[0].Errors, o[1].Errors = 20, 20 }, []OutlierChange{{"e1", OutlierEject, "class chat: errors 100% against 25%"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			outcomes := zoneOutcomes("chat", "e1", "e2", "e3", "e4", "e5")
			test.change(outcomes)
			got := NewOutlierDetector(planStart, nil).Evaluate(planStart, policy, outlierEngines(), outcomes)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("rulings (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOutlierProbationAndLongerEjection(t *testing.T) {
	policy := planDocument(t, "", "").Policy().Rollout()
	good := zoneOutcomes("chat", "e1", "e2", "e3", "e4", "e5")
	bad := zoneOutcomes("chat", "e1", "e2", "e3", "e4", "e5")
	bad[0].Errors = 20
	detector := NewOutlierDetector(planStart, nil)
	steps := []struct {
		after    time.Duration
		outcomes []EngineOutcome
		want     []OutlierChangeKind
	}{
		{0, bad, []OutlierChangeKind{OutlierEject}},
		{9 * time.Second, bad, nil},
		{10 * time.Second, good, []OutlierChangeKind{OutlierProbe}},
		{11 * time.Second, bad, []OutlierChangeKind{OutlierEject}},
		{30 * time.Second, good, nil},
		{31 * time.Second, good, []OutlierChangeKind{OutlierProbe}},
		{60 * time.Second, good, nil},
		{61 * time.Second, good, []OutlierChangeKind{OutlierClear}},
	}
	for _, step := range steps {
		var got []OutlierChangeKind
		for _, r := range detector.Evaluate(planStart.Add(step.after), policy, outlierEngines(), step.outcomes) {
			got = append(got, r.Kind)
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("rulings after %v (-want +got):\n%s", step.after, diff)
		}
	}
}

func TestStaleEngines(t *testing.T) {
	doc := planDocument(t, "slots = 8", "")
	report := func(age time.Duration) EngineReport { return EngineReport{Sampled: planStart.Add(-age)} }
	engines := outlierEngines()[:3]
	for i := range engines {
		engines[i].reported = true
		engines[i].report.Sampled = planStart
	}
	engines[1].report.Sampled = planStart.Add(-10 * time.Second)
	limit := doc.Policy().Rollout().MaxReportAge()
	if diff := cmp.Diff([]EngineID{"e2"}, StaleEngines(planStart, limit, engines)); diff != "" {
		t.Errorf("stale (-want +got):\n%s", diff)
	}
	if got := StaleEngines(planStart.Add(time.Minute), limit, engines); len(got) != 0 {
		t.Errorf("%v ejected while every report is stale", got)
	}
	possible := []bool{
		report(0).Plausible(planStart, doc),
		report(-time.Second).Plausible(planStart, doc),
		EngineReport{Work: -1, Sampled: planStart}.Plausible(planStart, doc),
		EngineReport{Work: 80, Sampled: planStart}.Plausible(planStart, doc),
		EngineReport{Work: 81, Sampled: planStart}.Plausible(planStart, doc),
	}
	if diff := cmp.Diff([]bool{true, false, false, true, false}, possible); diff != "" {
		t.Errorf("possible reports (-want +got):\n%s", diff)
	}
}
