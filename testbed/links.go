package testbed

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/faultproxy"
)

// platformZone stands for the platform as the far end of a link.
const platformZone = "platform"

// Links holds the proxies on the links between zones and to the platform.
type Links struct {
	ctx   context.Context
	group *errgroup.Group
	opts  Options

	mu    sync.Mutex
	links map[linkKey]*faultproxy.Proxy
	ends  map[linkKey]string // the zone of the link's far end
}

// linkKey names a link by the zone that dials and the host that is dialled.
type linkKey struct {
	from string
	to   string
}

func newLinks(ctx context.Context, group *errgroup.Group, opts Options) *Links {
	return &Links{ctx: ctx, group: group, opts: opts, links: map[linkKey]*faultproxy.Proxy{}, ends: map[linkKey]string{}}
}

// address returns where the host is reached from a zone: directly within its
// own zone, else through a proxy.
func (l *Links) address(from, zone, host, address string) (string, error) {
	if from == zone {
		return address, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := linkKey{from, host}
	listener, err := listen()
	if err != nil {
		return "", err
	}
	p := &faultproxy.Proxy{Listener: listener, Target: address, Seed: l.opts.Seed + uint64(len(l.links))}
	p.Set(l.normal(zone))
	l.links[key] = p
	l.ends[key] = zone
	l.group.Go(func() error { return p.Run(l.ctx) })
	return p.Address(), nil
}

// normal is the state of a link without a fault.
func (l *Links) normal(zone string) faultproxy.Fault {
	if zone == platformZone {
		return faultproxy.Fault{}
	}
	return faultproxy.Fault{Delay: l.opts.ZoneDelay, Jitter: l.opts.ZoneJitter}
}

// Get returns the proxy through which a zone reaches a host, nil if there is none.
func (l *Links) Get(from, host string) *faultproxy.Proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[linkKey{from, host}]
}

// Each calls fn with every link that touches the zone.
func (l *Links) Each(zone string, fn func(*faultproxy.Proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		if key.from == zone || l.ends[key] == zone {
			fn(p)
		}
	}
}

func (l *Links) cut(zone string) {
	l.Each(zone, func(p *faultproxy.Proxy) {
		p.SilenceOpen()
		p.Set(faultproxy.Fault{Silent: true})
	})
}

// Restore takes the faults of the zone's links away. Their connections stay.
func (l *Links) Restore(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		if key.from == zone || l.ends[key] == zone {
			p.Set(l.normal(l.ends[key]))
		}
	}
}

// platform calls fn with the links from the zone to the platform.
func (l *Links) platform(zone string, fn func(*faultproxy.Proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		if key.from == zone && l.ends[key] == platformZone {
			fn(p)
		}
	}
}

// heal lifts the faults of the zone's links, those to the platform only if asked.
func (l *Links) heal(zone string, platform bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		touches := key.from == zone || l.ends[key] == zone
		if touches && (platform || l.ends[key] != platformZone) {
			p.Set(l.normal(l.ends[key]))
			p.Cut()
		}
	}
}
