package document

import (
	"time"

	"peridotusher.example/peridotusher/ini"
)

const (
	maxDuration = 24 * time.Hour
	maxCount    = 1_000_000
	maxWeight   = 1_000_000
	maxBound    = 100
	// maxOutcomeBytes is below the maximum size of a value in the platform's store.
	maxOutcomeBytes = 512 << 10
)

var policyFields = []ini.Field[Policy]{
	{
		Name:    "bound",
		Default: "1.25",
		Text:    "Multiple of the mean load that no engine may exceed.",
		Value:   ini.Of(ini.Float(1, maxBound), func(p *Policy) *float64 { return &p.bound }),
	},
	{
		Name:    "expiry",
		Default: "30s",
		Text:    "Time after which a permit that was not released expires.",
		Value:   ini.Of(ini.Duration(time.Second, maxDuration), func(p *Policy) *time.Duration { return &p.permitExpiry }),
	},
	{
		Name:    "owner",
		Default: "100ms",
		Text:    "Time to wait for an engine's owner before its deputy is asked.",
		Value:   ini.Of(ini.Duration(time.Millisecond, time.Minute), func(p *Policy) *time.Duration { return &p.ownerTimeout }),
	},
	{
		Name:    "queue",
		Default: "64",
		Text:    "Requests that may wait for one engine.",
		Value:   ini.Of(ini.Int(0, maxCount), func(p *Policy) *int { return &p.queueLength }),
	},
	{
		Name:    "records",
		Default: "100000",
		Text:    "Moved chats that a router remembers.",
		Value:   ini.Of(ini.Int(0, 100*maxCount), func(p *Policy) *int { return &p.placementRecords }),
	},
	{
		Name:    "retries",
		Default: "10%",
		Text:    "Retries allowed, as a share of the requests.",
		Value:   ini.Of(ini.Percent(0, 100), func(p *Policy) *float64 { return &p.retryBudget }),
	},
	{
		Name:    "hedge",
		Default: "95%",
		Text:    "Latency percentile after which an idempotent call is hedged; 0% turns hedging off.",
		Value:   ini.Of(ini.Percent(0, 99.99), func(p *Policy) *float64 { return &p.hedgePercentile }),
	},
	{
		Name:    "idle",
		Default: "5s",
		Text:    "Time that a stream from an engine may be silent.",
		Value:   ini.Of(ini.Duration(10*time.Millisecond, maxDuration), func(p *Policy) *time.Duration { return &p.idleTimeout }),
	},
	{
		Name:    "window",
		Default: "1h",
		Text:    "Time that an idempotency key is remembered.",
		Value:   ini.Of(ini.Duration(time.Second, 7*maxDuration), func(p *Policy) *time.Duration { return &p.claimWindow }),
	},
	{
		Name:    "outcome",
		Default: "16384",
		Text:    "Largest outcome recorded for replay, in bytes.",
		Value:   ini.Of(ini.Int(0, maxOutcomeBytes), func(p *Policy) *int { return &p.outcomeLimit }),
	},
	{
		Name:    "placement",
		Default: string(PlacementBounded),
		Text:    "How an engine is chosen; all but bounded serve comparisons and do not bound an engine's load.",
		Value: ini.Of(ini.OneOf(PlacementBounded, PlacementRendezvous, PlacementRandom, PlacementRoundRobin, PlacementTwoChoices),
			func(p *Policy) *Placement { return &p.placement }),
	},
	{
		Name:    "patience",
		Default: "200ms",
		Text:    "Time that a returning chat waits for the engine that holds its prefix before it moves.",
		Value:   ini.Of(ini.Duration(0, time.Minute), func(p *Policy) *time.Duration { return &p.patience }),
	},
}

var classFields = []ini.Field[Class]{
	{
		Name:    "priority",
		Default: "1",
		Text:    "Priority; the lowest number goes first.",
		Value:   ini.Of(ini.Int(0, 100), func(c *Class) *int { return &c.priority }),
	},
	{
		Name:     "deadline",
		Required: true,
		Text:     "Time within which the whole answer is due.",
		Value:    ini.Of(ini.Duration(time.Millisecond, maxDuration), func(c *Class) *time.Duration { return &c.deadline }),
	},
	{
		Name:    "first",
		Default: "0s",
		Text:    "Time within which the first token is due; 0s sets no limit.",
		Value:   ini.Of(ini.Duration(0, maxDuration), func(c *Class) *time.Duration { return &c.firstToken }),
	},
	{
		Name:    "work",
		Default: "1",
		Text:    "Work units that one request counts for.",
		Value:   ini.Of(ini.Int(1, maxCount), func(c *Class) *int { return &c.work }),
	},
	{
		Name:    "tokens",
		Default: "1024",
		Text:    "Longest answer, in tokens.",
		Value:   ini.Of(ini.Int(1, maxCount), func(c *Class) *int { return &c.maxTokens }),
	},
	{
		Name:    "objective",
		Default: "99%",
		Text:    "Share of requests that are due whole and in time.",
		Value:   ini.Of(ini.Percent(0, 100), func(c *Class) *float64 { return &c.objective }),
	},
	{
		Name:    "chat",
		Default: "yes",
		Text:    "Whether requests of the class belong to returning chats; those that do not go to the emptiest engines.",
		Value:   ini.Of(ini.Bool(), func(c *Class) *bool { return &c.chats }),
	},
}

var organisationFields = []ini.Field[Organisation]{
	{
		Name:    "weight",
		Default: "1",
		Text:    "Share in fair queueing, relative to the other organisations.",
		Value:   ini.Of(ini.Float(0.001, maxWeight), func(o *Organisation) *float64 { return &o.weight }),
	},
	{
		Name:    "worth",
		Default: "1",
		Text:    "Value of one request answered whole and in time.",
		Value:   ini.Of(ini.Float(0, maxWeight), func(o *Organisation) *float64 { return &o.worth }),
	},
	{
		Name:     "keys",
		Required: true,
		Secret:   true,
		Text:     "Hashes of the bearer keys.",
		Value:    ini.Of(ini.List(KeyHashParser()), func(o *Organisation) *[]string { return &o.keyHashes }),
	},
	{
		Name:    "rate",
		Default: "0",
		Text:    "Requests per second over the whole fleet; 0 sets no limit.",
		Value:   ini.Of(ini.Float(0, maxCount), func(o *Organisation) *float64 { return &o.requestsPerSecond }),
	},
	{
		Name:    "concurrent",
		Default: "0",
		Text:    "Requests in flight over the whole fleet; 0 sets no limit.",
		Value:   ini.Of(ini.Int(0, maxCount), func(o *Organisation) *int { return &o.concurrent }),
	},
	{
		Name:  "classes",
		Text:  "Classes that the organisation may use. Default: all.",
		Value: ini.Of(ini.List(ini.Name()), func(o *Organisation) *[]string { return &o.classes }),
	},
	{
		Name:  "class",
		Text:  "Class of a request that names none. Default: the first of classes, or the one with the lowest priority number.",
		Value: ini.Of(ini.Name(), func(o *Organisation) *string { return &o.configuredClass }),
	},
	{
		Name:  "objective",
		Text:  "Share of requests that are due whole and in time. Default: the class's.",
		Value: ini.Of(ini.Percent(0, 100), func(o *Organisation) *float64 { return &o.objective }),
	},
}
