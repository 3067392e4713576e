package peridotusher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineState determines whether an engine may get new work.
type EngineState uint8

// The states of an engine.
const (
	EngineLive EngineState = iota
	EngineLeaving
	EngineEjected
)

// String returns the state as written in status output.
func (s EngineState) String() string {
	switch s {
	case EngineLeaving:
		return "leaving"
	case EngineEjected:
		return "ejected"
	default:
		return "live"
	}
}

// LoadedVersion is a version of a model that an engine has loaded.
type LoadedVersion struct {
	Model   string
	Version string
	Ready   bool
}

// EngineReport is an engine's own report of its load.
type EngineReport struct {
	Work     int // work units running and waiting
	Versions []LoadedVersion
	Adapters []string
	Role     string
	Cached   int // tokens in the prefix cache
	// RequestRate is the number of requests a second that the engine accepts, if LimitsRate is set.
	RequestRate float64
	LimitsRate  bool
	Sampled     time.Time // when the engine took the sample, on the router's clock
}

// Engine is a router's view of one model engine.
type Engine struct {
	id       EngineID
	hash     uint64 // of the ID
	zone     Zone
	address  string
	state    EngineState
	weight   float64
	report   EngineReport
	reported bool
}

// NewEngine returns a live engine without a load report.
func NewEngine(id EngineID, zone Zone, address string) Engine {
	return Engine{id: id, hash: xxhash.Sum64String(string(id)), zone: zone, address: address, weight: 1}
}

// ID returns the engine's ID.
func (e Engine) ID() EngineID { return e.id }

// Zone returns the engine's availability zone.
func (e Engine) Zone() Zone { return e.zone }

// Address returns the engine's host:port.
func (e Engine) Address() string { return e.address }

// State returns whether the engine may get new work.
func (e Engine) State() EngineState { return e.state }

// Weight returns the engine's share of new chats, 1 for a full share.
func (e Engine) Weight() float64 { return e.weight }

// Report returns the engine's last load report and whether there is one.
func (e Engine) Report() (EngineReport, bool) { return e.report, e.reported }

// Serves returns whether the engine is ready to serve the version of the
// model. An empty version stands for any version.
func (e Engine) Serves(model, version string) bool {
	for _, v := range e.report.Versions {
		if v.Model == model && v.Ready && (version == "" || v.Version == version) {
			return true
		}
	}
	return false
}

// WithState returns a copy of the engine in the given state.
func (e Engine) WithState(state EngineState) Engine {
	e.state = state
	return e
}
