package testbed

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/faultproxy"
)

// platformZone is the target zone of links to the platform.
const platformZone = "platform"

// Links holds the proxies on the links between zones and to the platform.
type Links struct {
	ctx   context.Context
	group *errgroup.Group
	opts  Options

	mu          sync.Mutex
	links       map[linkKey]*faultproxy.Proxy
	targetZones map[linkKey]string // zone of the host that is dialed
}

// linkKey identifies a link by the zone that dials and the host that is dialed.
type linkKey struct {
	from string
	to   string
}

func newLinks(ctx context.Context, group *errgroup.Group, opts Options) *Links {
	return &Links{ctx: ctx, group: group, opts: opts, links: map[linkKey]*faultproxy.Proxy{}, targetZones: map[linkKey]string{}}
}

// address returns the address at which a zone reaches the host: its own address within
// the host's zone, else that of a new proxy.
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
	p.Set(l.normalFault(zone))
	l.links[key] = p
	l.targetZones[key] = zone
	l.group.Go(func() error { return p.Run(l.ctx) })
	return p.Address(), nil
}

// normalFault returns the normal delay and jitter of a link to the zone.
func (l *Links) normalFault(zone string) faultproxy.Fault {
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
		if key.from == zone || l.targetZones[key] == zone {
			fn(p)
		}
	}
}

func (l *Links) silence(zone string) {
	l.Each(zone, func(p *faultproxy.Proxy) {
		p.SilenceOpen()
		p.Set(faultproxy.Fault{Silent: true})
	})
}

// RemoveFaults removes the faults of the zone's links. It keeps their connections.
func (l *Links) RemoveFaults(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		if key.from == zone || l.targetZones[key] == zone {
			p.Set(l.normalFault(l.targetZones[key]))
		}
	}
}

// eachPlatformLink calls fn with each of the links from the zone to the platform.
func (l *Links) eachPlatformLink(zone string, fn func(*faultproxy.Proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		if key.from == zone && l.targetZones[key] == platformZone {
			fn(p)
		}
	}
}

// restoreAndReset removes the faults of the zone's links and resets their connections;
// links to the platform are included only if platform is set.
func (l *Links) restoreAndReset(zone string, platform bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.links {
		touches := key.from == zone || l.targetZones[key] == zone
		if touches && (platform || l.targetZones[key] != platformZone) {
			p.Set(l.normalFault(l.targetZones[key]))
			p.ResetConnections()
		}
	}
}
