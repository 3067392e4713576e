package document

import (
	"slices"
	"time"
)

// Policy holds the limits and time limits of the routers' decisions, from the section [policy].
type Policy struct {
	bound            float64
	permitExpiry     time.Duration
	ownerTimeout     time.Duration
	queueLength      int
	placementRecords int
	retryBudget      float64
	hedgePercentile  float64
	idleTimeout      time.Duration
	claimWindow      time.Duration
	outcomeLimit     int
	rollout          Rollout
	placement        Placement
	patience         time.Duration
}

// Bound returns the multiple of the mean load that no engine may exceed.
func (p Policy) Bound() float64 { return p.bound }

// PermitExpiry returns the time after which a permit expires unless its ingress router releases or renews it.
func (p Policy) PermitExpiry() time.Duration { return p.permitExpiry }

// OwnerTimeout returns how long an ingress router waits for an engine's owner before it asks the deputy.
func (p Policy) OwnerTimeout() time.Duration { return p.ownerTimeout }

// QueueLength returns the maximum number of requests waiting for one engine.
func (p Policy) QueueLength() int { return p.queueLength }

// PlacementRecords returns the maximum number of moved chats whose placement a router stores.
func (p Policy) PlacementRecords() int { return p.placementRecords }

// RetryBudget returns the maximum number of retries as a fraction of the number of requests.
func (p Policy) RetryBudget() float64 { return p.retryBudget }

// HedgePercentile returns the latency percentile, from 0 to 1, after which an
// idempotent call is hedged. Zero turns hedging off.
func (p Policy) HedgePercentile() float64 { return p.hedgePercentile }

// IdleTimeout returns the maximum time between data on a stream from an engine.
func (p Policy) IdleTimeout() time.Duration { return p.idleTimeout }

// ClaimWindow returns how long an idempotency key is stored.
func (p Policy) ClaimWindow() time.Duration { return p.claimWindow }

// OutcomeLimit returns the maximum size in bytes of an outcome that is recorded for replay.
func (p Policy) OutcomeLimit() int { return p.outcomeLimit }

// Placement returns how an engine is chosen for a request.
func (p Policy) Placement() Placement { return p.placement }

// PrefixHolderWait returns how long a returning chat waits for a free slot on the engine that holds its
// prompt prefix before it moves to another engine.
func (p Policy) PrefixHolderWait() time.Duration { return p.patience }

// Placement names a way to choose an engine for a request.
type Placement string

// The ways to choose an engine. Only PlacementBounded limits an engine's load; the others
// serve for comparison.
const (
	PlacementBounded    Placement = "bounded"
	PlacementRendezvous Placement = "rendezvous"
	PlacementRandom     Placement = "random"
	PlacementRoundRobin Placement = "roundrobin"
	PlacementTwoChoices Placement = "twochoices"
)

// Class is a kind of request with its priority and deadline.
type Class struct {
	name       string
	priority   int
	deadline   time.Duration
	firstToken time.Duration
	work       int
	maxTokens  int
	objective  float64
	chats      bool
}

// Name returns the class's name.
func (c *Class) Name() string { return c.name }

// Priority returns the class's priority. The lowest number is served first.
func (c *Class) Priority() int { return c.priority }

// Deadline returns the time limit for the complete answer.
func (c *Class) Deadline() time.Duration { return c.deadline }

// FirstToken returns the time limit for the first token, zero for no limit.
func (c *Class) FirstToken() time.Duration { return c.firstToken }

// Work returns the work units of one request of the class. A model's slots limit the
// work units that one engine runs at once.
func (c *Class) Work() int { return c.work }

// MaxTokens returns the maximum length of an answer of the class in tokens.
func (c *Class) MaxTokens() int { return c.maxTokens }

// Objective returns the share of requests, from 0 to 1, that should be answered completely and in time.
func (c *Class) Objective() float64 { return c.objective }

// Chats returns whether requests of the class belong to returning chats.
func (c *Class) Chats() bool { return c.chats }

// Organisation is a customer of the system.
type Organisation struct {
	name              string
	weight            float64
	worth             float64
	keyHashes         []string
	requestsPerSecond float64
	concurrent        int
	classes           []string
	configuredClass   string // the value of the key class, may be empty
	defaultClass      string
	objective         float64
}

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Weight returns the organisation's weight in fair queueing, relative to the other organisations.
func (o *Organisation) Weight() float64 { return o.weight }

// RequestValue returns the value of one request that is answered completely and in time.
func (o *Organisation) RequestValue() float64 { return o.worth }

// KeyHashes returns the hashes of the organisation's bearer keys, in the form of HashKey.
func (o *Organisation) KeyHashes() []string { return o.keyHashes }

// RequestsPerSecond returns the organisation's rate limit over the whole fleet, zero for none.
func (o *Organisation) RequestsPerSecond() float64 { return o.requestsPerSecond }

// Concurrent returns the organisation's limit of requests in flight over the whole fleet, zero for none.
func (o *Organisation) Concurrent() int { return o.concurrent }

// Classes returns the classes that the organisation may use, empty for all.
func (o *Organisation) Classes() []string { return o.classes }

// DefaultClass returns the class of a request that specifies none.
func (o *Organisation) DefaultClass() string { return o.defaultClass }

// Objective returns the organisation's own service-level objective, zero to use that of the class.
func (o *Organisation) Objective() float64 { return o.objective }

// Model is a model that callers may request.
type Model struct {
	name        string
	slots       int
	minReplicas int
	fencing     Fencing
	versions    []Version
	previous    []Version
	adapters    []string
	role        string
}

// Name returns the model's name.
func (m *Model) Name() string { return m.name }

// Slots returns the work units that one engine can run at once.
func (m *Model) Slots() int { return m.slots }

// MinReplicas returns the minimum number of ready engines that operators accept.
func (m *Model) MinReplicas() int { return m.minReplicas }

// Fencing returns whether the model's engines check the fencing number of an order (a command from a router).
func (m *Model) Fencing() Fencing { return m.fencing }

// Versions returns the versions to serve, with their shares, empty for the version that an engine runs.
func (m *Model) Versions() []Version { return m.versions }

// Previous returns the versions before the last rollout, which a rollback restores.
func (m *Model) Previous() []Version { return m.previous }

// Adapters returns the adapters to load.
func (m *Model) Adapters() []string { return m.adapters }

// Role returns the role that the model's engines must have, empty for any.
func (m *Model) Role() string { return m.role }

// Version is a version of a model with its share of the traffic.
type Version struct {
	name  string
	share int
}

// Name returns the version's name.
func (v Version) Name() string { return v.name }

// Share returns the version's share of the traffic in per cent.
func (v Version) Share() int { return v.share }

// Fencing defines whether an endpoint refuses a stale fencing number.
type Fencing string

// The values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Service is a plain service, with replicas that are not model engines.
type Service struct {
	name        string
	replicas    []Replica
	idempotent  []Route
	fencing     Fencing
	singleSends bool
	deadline    time.Duration
	concurrent  int
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Replicas returns the service's endpoints.
func (s *Service) Replicas() []Replica { return s.replicas }

// Fencing returns whether the endpoints check a fencing number.
func (s *Service) Fencing() Fencing { return s.fencing }

// AllowsCallsWithoutKey returns whether a non-idempotent call is accepted without an Idempotency-Key.
func (s *Service) AllowsCallsWithoutKey() bool { return s.singleSends }

// Deadline returns the time limit for the answer to a call.
func (s *Service) Deadline() time.Duration { return s.deadline }

// Concurrent returns the limit of calls in flight per replica and router, zero for none.
func (s *Service) Concurrent() int { return s.concurrent }

// Idempotent returns whether a call with the given method and path may be repeated.
func (s *Service) Idempotent(method, path string) bool {
	for _, r := range s.idempotent {
		if r.matches(method, path) {
			return true
		}
	}
	return false
}

// Replica is one endpoint of a plain service.
type Replica struct {
	address string
	zone    string
}

// Address returns the endpoint's host:port.
func (r Replica) Address() string { return r.address }

// Zone returns the endpoint's availability zone.
func (r Replica) Zone() string { return r.zone }

// Route is a method and a path pattern; a trailing * matches any suffix.
type Route struct {
	method string
	path   string
}

// Rule restricts which engines may serve requests of some organisations for some models.
type Rule struct {
	name          string
	organisations []string
	models        []string
	zones         []string
	engines       []string
}

// Name returns the rule's name.
func (r *Rule) Name() string { return r.name }

// Zones returns the zones whose engines are allowed, empty for all.
func (r *Rule) Zones() []string { return r.zones }

// Engines returns the names of the engines allowed, empty for all.
func (r *Rule) Engines() []string { return r.engines }

// Matches returns whether the rule applies to the organisation and model.
func (r *Rule) Matches(organisation, model string) bool {
	return matchesList(r.organisations, organisation) && matchesList(r.models, model)
}

// Allows returns whether the rule allows the engine, which runs in the zone, to serve.
func (r *Rule) Allows(engine, zone string) bool {
	return matchesList(r.zones, zone) && matchesList(r.engines, engine)
}

// Team is a team of operators that owns sections of the document.
type Team struct {
	name     string
	keyHash  string
	sections []string
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// KeyHash returns the hash of the team's key, in the form of HashKey.
func (t *Team) KeyHash() string { return t.keyHash }

// Sections returns the patterns of the sections that the team owns; a trailing * matches any suffix.
func (t *Team) Sections() []string { return t.sections }

// matchesList returns whether name is in list; an empty list matches every name.
func matchesList(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
