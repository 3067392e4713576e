package testbed

import (
	"time"

	"peridotusher.example/peridotusher/standin"
)

// Options configure a bed. A zero field takes its default, named beside it.
type Options struct {
	Binary            string   // the peridotusher program, see Build
	Dir               string   // folder for settings and logs
	Zones             []string // a, b and c
	RoutersPerZone    int      // 2
	ExtraRouters      int      // further routers, assigned to the zones in turn
	EnginesPerZone    int      // 7
	ServicesPerZone   int      // 1
	Models            []standin.EngineModel
	Document          []byte                // examples.Kalimera with this bed's service replicas
	Seed              uint64                // 1
	ZoneDelay         time.Duration         // one-way delay between zones
	ZoneJitter        time.Duration         // maximum jitter added to ZoneDelay
	ListDelay         time.Duration         // 500 ms
	ConfigureEngine   func(*standin.Engine) // changes an engine before it starts
	ConfigureService  func(*standin.Service)
	ConfigureWeights  func(*standin.Weights)     // changes the weight store before it starts
	ExtraSettings     func(router string) string // INI text appended to a router's settings
	ExtraPeerSettings func(router string) string // lines added to a router's [peer] settings
	ExtraArgs         func(router string) []string
}

func (o Options) withDefaults() Options {
	if len(o.Zones) == 0 {
		o.Zones = []string{"a", "b", "c"}
	}
	setIfZero(&o.RoutersPerZone, 2)
	setIfZero(&o.EnginesPerZone, 7)
	setIfZero(&o.ServicesPerZone, 1)
	setIfZero(&o.Seed, 1)
	setIfZero(&o.ListDelay, 500*time.Millisecond)
	if len(o.Models) == 0 {
		o.Models = []standin.EngineModel{{Model: "stylist", Version: "v1"}, {Model: "stylist", Version: "v2"}}
	}
	return o
}

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
