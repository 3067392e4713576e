package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind states how often a request of a route may run and how it is answered.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests may run at most once for each attempt of the client.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

// Share is the share of a route's requests that goes to a service, relative to the weights of
// the route's other shares.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests for a host whose path has a prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time until the final answer; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective, for streams until the first event.
	Objective time.Duration
	// MaxPause is the longest pause between two events with which a stream meets its objective; 0
	// means no limit.
	MaxPause time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the maximum number of replicas to which a request may be sent.
	MaxAttempts int
	// Public is set if requests need no key.
	Public bool
	// Cached is set if replicas cache parts of the prompts, which are shared prefixes.
	Cached bool
	// Resumable is set if a stream may be resumed at another replica.
	Resumable bool
	// Regions limits the regions in which replicas may get requests of the route.
	Regions RegionLimit
}

// Retryable reports whether a request of the route may be retried even if an earlier attempt may
// have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service chooses the service for a request by the weights of the route's shares. point must be
// uniform in [0, 1). It returns "" if the route has no service.
func (r *Route) Service(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if s.Weight > 0 && remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of replicas that answer the same requests.
type Service struct {
	Name string
	// RunsModel is set if the replicas run a model and therefore cache parts of prompts.
	RunsModel bool
	// MemoryTokens is the capacity of a replica in tokens, for running requests and cached parts of
	// prompts together; 0 if unknown.
	MemoryTokens int
	// ColdFor is how long a replica is cold after its start, and ColdRate the number of
	// requests per second that it can handle while it is cold. If either is 0, replicas are
	// never cold.
	ColdFor  time.Duration
	ColdRate float64
}

// Cold reports whether replicas of the service can be cold.
func (s *Service) Cold() bool { return s.ColdFor > 0 && s.ColdRate > 0 }

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time for receiving the header of a request, IdleTimeout the time
	// that a connection may be idle between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority, if set, overrides the priority of the route.
	Priority *int
	// Regions limits the regions in which replicas may get the organisation's requests.
	Regions RegionLimit
}

// Document is one configuration. It must not be changed after Seal.
type Document struct {
	// Version increases with each configuration.
	Version       int64
	Routes        []*Route
	Services      map[string]*Service
	Limits        Limits
	Organisations []*Organisation
	// KeysRequired is set if the configuration lists its organisations, even if there are none:
	// then no key is valid.
	KeysRequired bool
	// Source is the encoded document as it was read, to be sent to other routers.
	Source []byte
	// Malformed lists the names of malformed values, which were ignored or replaced.
	Malformed []string

	hosts map[string][]*Route
	keys  map[string]*Organisation
}

// Seal builds the lookup tables for Match and Organisation.
func (d *Document) Seal() {
	d.hosts = make(map[string][]*Route)
	for _, r := range d.Routes {
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
	for _, routes := range d.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	d.keys = make(map[string]*Organisation)
	for _, o := range d.Organisations {
		for _, key := range o.Keys {
			d.keys[key] = o
		}
	}
	delete(d.keys, "") // stands for a request without a key
}

// Match returns the host's route with the longest prefix of the path. A port in host is ignored.
func (d *Document) Match(host, path string) (*Route, bool) {
	routes, ok := d.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = d.hosts[strings.ToLower(name)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKeys reports whether requests need a key, unless their route is public.
func (d *Document) RequiresKeys() bool { return d.KeysRequired || len(d.Organisations) > 0 }

// Organisation returns the organisation with the key.
func (d *Document) Organisation(key string) (*Organisation, bool) {
	o, ok := d.keys[key]
	return o, ok
}
