package peridotusher

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// StepKind is the kind of change that a step makes at an engine.
type StepKind string

// The kinds of step.
const (
	StepLoad      StepKind = "load"
	StepUnload    StepKind = "unload"
	StepAdapter   StepKind = "adapter"
	StepUnadapter StepKind = "unadapter"
	StepRole      StepKind = "role"
)

// Reason is why the planner gives a step or holds one back.
type Reason string

// The reasons for steps and holds.
const (
	ReasonMissing      Reason = "too few engines hold the version"
	ReasonIdle         Reason = "the engine holds no model"
	ReasonRetired      Reason = "the version is no longer in the document and has drained"
	ReasonAdapter      Reason = "the engine lacks the adapter"
	ReasonSurplus      Reason = "no model lists the adapter"
	ReasonRole         Reason = "the engine has another role"
	ReasonLoading      Reason = "as many engines as allowed are loading"
	ReasonSoaking      Reason = "the last wave is not old enough"
	ReasonPaused       Reason = "the health gate has paused the rollout"
	ReasonDraining     Reason = "running work still needs the version"
	ReasonShifting     Reason = "the version still gets a share of the chats"
	ReasonMinReady     Reason = "the model would have too few ready engines"
	ReasonStateUnknown Reason = "the engine gives no state"
)

// Step is one order to an engine.
type Step struct {
	Kind    StepKind
	Engine  EngineID
	Model   string
	Version string
	Adapter string
	Role    string
	Reason  Reason
}

// OrderID returns the ID of the step's order. It is a hash of the step, the
// document's revision and the last order that the engine has applied. So two routers
// that see the same state send the same order, and an order that was undone can be
// sent again with another ID.
func (s Step) OrderID(revision uint64, last string) string {
	text := fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%s\x00%s\x00%d\x00%s",
		s.Kind, s.Engine, s.Model, s.Version, s.Adapter, s.Role, revision, last)
	return string(s.Kind) + "-" + strconv.FormatUint(xxhash.Sum64String(text), 36)
}

// String returns the step in one line.
func (s Step) String() string {
	object := s.Version
	switch s.Kind {
	case StepAdapter, StepUnadapter:
		object = s.Adapter
	case StepRole:
		object = s.Role
	}
	return fmt.Sprintf("%s %s %s on %s: %s", s.Kind, s.Model, object, s.Engine, s.Reason)
}

// Hold is a step that the planner holds back for now.
type Hold struct {
	Model   string
	Version string
	Engine  EngineID // empty if the hold concerns no single engine
	Reason  Reason
	Detail  string
}

// String returns the hold in one line.
func (h Hold) String() string {
	text := "hold " + h.Model
	if h.Version != "" {
		text += " " + h.Version
	}
	if h.Engine != "" {
		text += " on " + string(h.Engine)
	}
	text += ": " + string(h.Reason)
	if h.Detail != "" {
		text += " (" + h.Detail + ")"
	}
	return text
}

// Plan holds the next safe steps and the reasons that hold back the others.
type Plan struct {
	Steps  []Step
	Holds  []Hold
	Pauses []Pause // versions that the health gate pauses now
}

// Pause states that the health gate pauses a version's rollout, and why.
type Pause struct {
	ModelVersion
	Cause string
}
