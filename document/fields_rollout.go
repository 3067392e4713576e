package document

import (
	"slices"
	"time"

	"peridotusher.example/peridotusher/ini"
)

// allPolicyFields returns every key of [policy].
func allPolicyFields() []ini.Field[Policy] {
	return slices.Concat(policyFields, rolloutFields)
}

var rolloutFields = []ini.Field[Policy]{
	{
		Name:    "loads",
		Default: "2",
		Text:    "Engines of a zone and model that load a version at once.",
		Value:   ini.Of(ini.Int(1, maxCount), func(p *Policy) *int { return &p.rollout.loads }),
	},
	{
		Name:    "soak",
		Default: "10s",
		Text:    "Time between two waves of a rollout.",
		Value:   ini.Of(ini.Duration(0, maxDuration), func(p *Policy) *time.Duration { return &p.rollout.soak }),
	},
	{
		Name:    "errors",
		Default: "2%",
		Text:    "Excess of a version's error share over the other versions' that pauses a rollout.",
		Value:   ini.Of(ini.Percent(0, 100), func(p *Policy) *float64 { return &p.rollout.errors }),
	},
	{
		Name:    "slower",
		Default: "1.5",
		Text:    "Multiple of the other versions' first-token time that pauses a rollout.",
		Value:   ini.Of(ini.Float(1, maxBound), func(p *Policy) *float64 { return &p.rollout.slower }),
	},
	{
		Name:    "lease",
		Default: "10s",
		Text:    "Lease of the router that gives a zone's orders.",
		Value:   ini.Of(ini.Duration(time.Second, time.Hour), func(p *Policy) *time.Duration { return &p.rollout.lease }),
	},
	{
		Name:    "flight",
		Default: "5s",
		Text:    "Longest flight of an order to an engine.",
		Value:   ini.Of(ini.Duration(10*time.Millisecond, time.Hour), func(p *Policy) *time.Duration { return &p.rollout.flight }),
	},
	{
		Name:    "stale",
		Default: "10s",
		Text:    "Age from which an engine's load report is not used.",
		Value:   ini.Of(ini.Duration(100*time.Millisecond, maxDuration), func(p *Policy) *time.Duration { return &p.rollout.stale }),
	},
	{
		Name:    "warmup",
		Default: "30s",
		Text:    "Time in which a joining engine comes to its full share of chats.",
		Value:   ini.Of(ini.Duration(0, maxDuration), func(p *Policy) *time.Duration { return &p.rollout.warmup }),
	},
	{
		Name:    "exports",
		Default: "50",
		Text:    "Caches copied from a leaving engine per second; 0 copies none.",
		Value:   ini.Of(ini.Int(0, maxCount), func(p *Policy) *int { return &p.rollout.exports }),
	},
	{
		Name:    "prefill",
		Default: "20us",
		Text:    "Time to compute one prompt token.",
		Value:   ini.Of(ini.Duration(0, time.Second), func(p *Policy) *time.Duration { return &p.rollout.prefill }),
	},
	{
		Name:    "copy",
		Default: "5us",
		Text:    "Time to copy the cache of one prompt token between engines.",
		Value:   ini.Of(ini.Duration(0, time.Second), func(p *Policy) *time.Duration { return &p.rollout.copyTime }),
	},
	{
		Name:    "eject",
		Default: "20%",
		Text:    "Share of a model's engines that may be ejected at once.",
		Value:   ini.Of(ini.Percent(0, 100), func(p *Policy) *float64 { return &p.rollout.eject }),
	},
}
