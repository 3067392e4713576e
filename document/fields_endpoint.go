package document

import (
	"time"

	"peridotusher.example/peridotusher/ini"
)

var modelFields = []ini.Field[Model]{
	{
		Name:    "slots",
		Default: "8",
		Text:    "Work units that one engine can run at once.",
		Value:   ini.Of(ini.Int(1, maxCount), func(m *Model) *int { return &m.slots }),
	},
	{
		Name:    "replicas",
		Default: "1",
		Text:    "Smallest number of ready engines.",
		Value:   ini.Of(ini.Int(0, maxCount), func(m *Model) *int { return &m.minReplicas }),
	},
	{
		Name:    "fencing",
		Default: string(FencingIgnored),
		Text:    "Whether the engines refuse an order with an old fencing number.",
		Value:   ini.Of(ini.OneOf(FencingChecked, FencingIgnored), func(m *Model) *Fencing { return &m.fencing }),
	},
	{
		Name:  "versions",
		Text:  "Versions to serve with their shares of the traffic in per cent. Default: the version that an engine runs.",
		Value: ini.Of(versionsParser(), func(m *Model) *[]Version { return &m.versions }),
	},
	{
		Name:  "previous",
		Text:  "Versions before the last rollout, which rollout back restores. Default: none.",
		Value: ini.Of(versionsParser(), func(m *Model) *[]Version { return &m.previous }),
	},
	{
		Name:  "adapters",
		Text:  "Adapters to load. Default: none.",
		Value: ini.Of(ini.List(ini.Name()), func(m *Model) *[]string { return &m.adapters }),
	},
	{
		Name:  "role",
		Text:  "Role that the engines take. Default: any.",
		Value: ini.Of(ini.Name(), func(m *Model) *string { return &m.role }),
	},
}

var serviceFields = []ini.Field[Service]{
	{
		Name:     "replicas",
		Required: true,
		Text:     "Endpoints with their availability zones.",
		Value:    ini.Of(ini.List(replicaParser()), func(s *Service) *[]Replica { return &s.replicas }),
	},
	{
		Name:  "idempotent",
		Text:  "Calls that may be repeated. Default: none.",
		Value: ini.Of(ini.List(routeParser()), func(s *Service) *[]Route { return &s.idempotent }),
	},
	{
		Name:    "fencing",
		Default: string(FencingIgnored),
		Text:    "Whether the endpoints refuse an old fencing number.",
		Value:   ini.Of(ini.OneOf(FencingChecked, FencingIgnored), func(s *Service) *Fencing { return &s.fencing }),
	},
	{
		Name:    "single",
		Default: "no",
		Text:    "Whether a non-idempotent call may come without an Idempotency-Key.",
		Value:   ini.Of(ini.Bool(), func(s *Service) *bool { return &s.singleSends }),
	},
	{
		Name:    "deadline",
		Default: "5s",
		Text:    "Time within which a call's answer is due.",
		Value:   ini.Of(ini.Duration(time.Millisecond, maxDuration), func(s *Service) *time.Duration { return &s.deadline }),
	},
	{
		Name:    "concurrent",
		Default: "0",
		Text:    "Calls in flight per replica and router; 0 sets no limit.",
		Value:   ini.Of(ini.Int(0, maxCount), func(s *Service) *int { return &s.concurrent }),
	},
}

var ruleFields = []ini.Field[Rule]{
	{
		Name:  "organisations",
		Text:  "Organisations that the rule applies to. Default: all.",
		Value: ini.Of(ini.List(ini.Name()), func(r *Rule) *[]string { return &r.organisations }),
	},
	{
		Name:  "models",
		Text:  "Models that the rule applies to. Default: all.",
		Value: ini.Of(ini.List(ini.Name()), func(r *Rule) *[]string { return &r.models }),
	},
	{
		Name:  "zones",
		Text:  "Availability zones whose engines are allowed. Default: all.",
		Value: ini.Of(ini.List(ini.Name()), func(r *Rule) *[]string { return &r.zones }),
	},
	{
		Name:  "engines",
		Text:  "Names of the engines allowed. Default: all.",
		Value: ini.Of(ini.List(ini.Name()), func(r *Rule) *[]string { return &r.engines }),
	},
}

var teamFields = []ini.Field[Team]{
	{
		Name:     "key",
		Required: true,
		Secret:   true,
		Text:     "Hash of the team's key.",
		Value:    ini.Of(KeyHashParser(), func(t *Team) *string { return &t.keyHash }),
	},
	{
		Name:     "sections",
		Required: true,
		Text:     "Sections that the team owns.",
		Value:    ini.Of(ini.List(patternParser()), func(t *Team) *[]string { return &t.sections }),
	},
}
