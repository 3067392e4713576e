package settings

import "time"

// Router holds the settings of the process itself.
type Router struct {
	name   string
	zone   string
	log    string
	settle time.Duration
	drain  time.Duration
}

// Name returns the router's name, which is unique in the fleet.
func (r Router) Name() string { return r.name }

// Zone returns the router's availability zone.
func (r Router) Zone() string { return r.zone }

// Log returns the log level.
func (r Router) Log() string { return r.log }

// Settle returns how long a stopping router stays open, so that the load
// balancer can notice that it is stopping.
func (r Router) Settle() time.Duration { return r.settle }

// Drain returns the time limit of a graceful shutdown.
func (r Router) Drain() time.Duration { return r.drain }

// Caller holds the settings of the listener for callers.
type Caller struct {
	listen     string
	header     int
	body       int
	concurrent int
	conns      int
	heads      int
	read       time.Duration
	bodytime   time.Duration
	idle       time.Duration
}

// Listen returns the address for callers.
func (c Caller) Listen() string { return c.listen }

// Header returns the maximum size of a request header in bytes.
func (c Caller) Header() int { return c.header }

// Body returns the maximum size of a request body in bytes.
func (c Caller) Body() int { return c.body }

// Concurrent returns the limit of requests in flight at this router.
func (c Caller) Concurrent() int { return c.concurrent }

// Conns returns the limit of connections of callers.
func (c Caller) Conns() int { return c.conns }

// Heads returns the limit in bytes of the memory that request headers take.
func (c Caller) Heads() int { return c.heads }

// Read returns the time limit for reading a header.
func (c Caller) Read() time.Duration { return c.read }

// BodyTime returns the time limit for reading a body.
func (c Caller) BodyTime() time.Duration { return c.bodytime }

// Idle returns the time that a connection may be idle between requests.
func (c Caller) Idle() time.Duration { return c.idle }

// Operator holds the settings of the listener for operators.
type Operator struct {
	listen string
	key    string
}

// Listen returns the address for operators.
func (o Operator) Listen() string { return o.listen }

// KeyHash returns the hash of the key of the operators who may edit every
// section, in the form of document.HashKey.
func (o Operator) KeyHash() string { return o.key }

// Peer holds the settings of the links to other routers.
type Peer struct {
	listen    string
	advertise string
	cert      string
	key       string
	ca        string
	plain     bool
	budget    int
}

// Listen returns the address for other routers.
func (p Peer) Listen() string { return p.listen }

// Advertise returns the address under which other routers reach this one.
func (p Peer) Advertise() string { return p.advertise }

// Cert returns the path of the certificate, empty for plain TCP.
func (p Peer) Cert() string { return p.cert }

// Key returns the path of the certificate's key.
func (p Peer) Key() string { return p.key }

// CA returns the path of the CA certificates that sign the other routers' certificates.
func (p Peer) CA() string { return p.ca }

// Plain returns whether links to routers on other hosts may use plain TCP.
func (p Peer) Plain() bool { return p.plain }

// Budget returns the limit of control traffic in bytes per second.
func (p Peer) Budget() int { return p.budget }

// Store holds the settings of the platform's key-value service.
type Store struct {
	addresses []string
	timeout   time.Duration
	prefix    string
}

// Addresses returns the addresses of the key-value service.
func (s Store) Addresses() []string { return s.addresses }

// Timeout returns how long to wait for an answer of the service.
func (s Store) Timeout() time.Duration { return s.timeout }

// Prefix returns the prefix of all keys in the store.
func (s Store) Prefix() string { return s.prefix }

// Hosts holds the settings of the platform's host list.
type Hosts struct {
	url   string
	every time.Duration
}

// URL returns the address of the host list.
func (h Hosts) URL() string { return h.url }

// ReadInterval returns the interval between reads of the host list.
func (h Hosts) ReadInterval() time.Duration { return h.every }

// Weights holds the settings of the platform's weight store.
type Weights struct {
	url string
}

// URL returns the address of the weight store.
func (w Weights) URL() string { return w.url }

// Stream holds the settings of event streams.
type Stream struct {
	secret string
}

// Secret returns the secret that signs event ids, the same in the whole fleet.
func (s Stream) Secret() string { return s.secret }
