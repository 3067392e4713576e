package document

import (
	"slices"
	"time"
)

// Policy holds the figures that bound the routers' decisions.
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

// PermitExpiry returns the time after which an unreturned permit lapses unless its ingress renews it.
func (p Policy) PermitExpiry() time.Duration { return p.permitExpiry }

// OwnerTimeout returns how long an ingress waits for an owner before it asks the deputy.
func (p Policy) OwnerTimeout() time.Duration { return p.ownerTimeout }

// QueueLength returns the number of asks that may wait for one engine.
func (p Policy) QueueLength() int { return p.queueLength }

// PlacementRecords returns the number of moved chats that a router remembers.
func (p Policy) PlacementRecords() int { return p.placementRecords }

// RetryBudget returns the retries allowed as a fraction of requests.
func (p Policy) RetryBudget() float64 { return p.retryBudget }

// HedgePercentile returns the latency percentile, from 0 to 1, after which an idempotent call is hedged. Zero turns hedging off.
func (p Policy) HedgePercentile() float64 { return p.hedgePercentile }

// IdleTimeout returns how long a stream from an engine may be silent.
func (p Policy) IdleTimeout() time.Duration { return p.idleTimeout }

// ClaimWindow returns how long an idempotency key is remembered.
func (p Policy) ClaimWindow() time.Duration { return p.claimWindow }

// OutcomeLimit returns the size in bytes of the largest outcome recorded for replay.
func (p Policy) OutcomeLimit() int { return p.outcomeLimit }

// Placement returns how an engine is chosen for a request.
func (p Policy) Placement() Placement { return p.placement }

// Patience returns how long a returning chat waits for a place on the engine that holds its prefix.
func (p Policy) Patience() time.Duration { return p.patience }

// Placement names a way to choose an engine for a request.
type Placement string

// The ways to choose an engine. All but the first do not bound an engine's load.
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

// Priority returns the class's priority. The lowest number goes first.
func (c *Class) Priority() int { return c.priority }

// Deadline returns the time within which the whole answer is due.
func (c *Class) Deadline() time.Duration { return c.deadline }

// FirstToken returns the time within which the first token is due, zero for no limit.
func (c *Class) FirstToken() time.Duration { return c.firstToken }

// Work returns the work units that one request of the class counts for.
func (c *Class) Work() int { return c.work }

// MaxTokens returns the longest answer of the class in tokens.
func (c *Class) MaxTokens() int { return c.maxTokens }

// Objective returns the share of requests, from 0 to 1, that are due whole and in time.
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
	ownClass          string // as the section says, may be empty
	defaultClass      string
	objective         float64
}

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Weight returns the organisation's share in fair queueing.
func (o *Organisation) Weight() float64 { return o.weight }

// Worth returns the value of one request answered whole and in time.
func (o *Organisation) Worth() float64 { return o.worth }

// KeyHashes returns the hashes of the organisation's bearer keys, as HashKey gives them.
func (o *Organisation) KeyHashes() []string { return o.keyHashes }

// RequestsPerSecond returns the organisation's rate limit over the whole fleet, zero for none.
func (o *Organisation) RequestsPerSecond() float64 { return o.requestsPerSecond }

// Concurrent returns the organisation's limit of requests in flight over the whole fleet, zero for none.
func (o *Organisation) Concurrent() int { return o.concurrent }

// Classes returns the classes that the organisation may use, empty for all.
func (o *Organisation) Classes() []string { return o.classes }

// DefaultClass returns the class of a request that names none.
func (o *Organisation) DefaultClass() string { return o.defaultClass }

// Objective returns the organisation's own service-level objective, zero for the class's.
func (o *Organisation) Objective() float64 { return o.objective }

// Model is a model that callers may ask for.
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

// MinReplicas returns the smallest number of ready engines that operators accept.
func (m *Model) MinReplicas() int { return m.minReplicas }

// Fencing returns whether the model's engines check the fencing number of an order.
func (m *Model) Fencing() Fencing { return m.fencing }

// Versions returns the versions to serve, with their shares, empty for the version that an engine runs.
func (m *Model) Versions() []Version { return m.versions }

// Previous returns the versions before the last rollout, for the way back.
func (m *Model) Previous() []Version { return m.previous }

// Adapters returns the adapters to load.
func (m *Model) Adapters() []string { return m.adapters }

// Role returns the role that the model's engines take, empty for any.
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

// Fencing says whether an endpoint refuses an old fencing number.
type Fencing string

// The kinds of endpoint.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Service is a plain service beside the model engines.
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

// SingleSends returns whether a non-idempotent call may come without an Idempotency-Key.
func (s *Service) SingleSends() bool { return s.singleSends }

// Deadline returns the time within which a call's answer is due.
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

// Route is a method and a path pattern; a trailing * matches any rest.
type Route struct {
	method string
	path   string
}

// Rule says which engines may serve which organisations and models.
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

// Matches returns whether the rule speaks of the organisation and model.
func (r *Rule) Matches(organisation, model string) bool {
	return listed(r.organisations, organisation) && listed(r.models, model)
}

// Allows returns whether the rule lets the engine serve.
func (r *Rule) Allows(engine, zone string) bool {
	return listed(r.zones, zone) && listed(r.engines, engine)
}

// Team is a team of operators that owns sections of the document.
type Team struct {
	name     string
	keyHash  string
	sections []string
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// KeyHash returns the hash of the team's key, as HashKey gives it.
func (t *Team) KeyHash() string { return t.keyHash }

// Sections returns the patterns of the sections that the team owns; a trailing * matches any rest.
func (t *Team) Sections() []string { return t.sections }

// listed returns whether name is in list; an empty list holds every name.
func listed(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
