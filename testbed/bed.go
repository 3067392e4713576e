package testbed

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/faultproxy"
	"peridotusher.example/peridotusher/hosts"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

const (
	startTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	// Prefix is the prefix of all keys in a bed's store.
	Prefix = "peridotusher/"
)

// Bed is a running fleet with its stand-ins for the platform and the endpoints.
type Bed struct {
	Store    *standin.Store
	Weights  *standin.Weights
	Lists    map[string]*standin.Hosts // by zone of the routers that read them
	Engines  []*Engine
	Services []*standin.Service
	Routers  []*Router
	Links    *Links

	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	group   *errgroup.Group
	clock   peridotusher.Clock
	started time.Time
}

// Engine is a stand-in engine that can be stopped on its own.
type Engine struct {
	*standin.Engine
	Stop context.CancelFunc
}

// Start starts a bed and waits until every router is ready. The returned function
// stops all processes and stand-ins.
func Start(ctx context.Context, opts Options) (*Bed, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	b := &Bed{
		Lists:   map[string]*standin.Hosts{},
		opts:    opts.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		group:   group,
		clock:   peridotusher.ClockFunc(time.Now),
		started: time.Now(),
	}
	b.Links = newLinks(ctx, group, b.opts)
	if err := b.startAll(); err != nil {
		b.stop()
		return nil, nil, err
	}
	return b, b.stop, nil
}

func (b *Bed) stop() {
	for _, r := range b.Routers {
		r.Kill()
	}
	b.cancel()
	// If a stand-in failed, the test's own requests failed too.
	_ = b.group.Wait()
}

func (b *Bed) startAll() error {
	if err := b.startPlatform(); err != nil {
		return err
	}
	for _, zone := range b.opts.Zones {
		if err := b.startEndpoints(zone); err != nil {
			return err
		}
	}
	if err := b.WriteDocument(b.document()); err != nil {
		return err
	}
	for _, zone := range b.opts.Zones {
		for range b.opts.RoutersPerZone {
			if _, err := b.AddRouter(zone); err != nil {
				return err
			}
		}
	}
	for n := range b.opts.ExtraRouters {
		if _, err := b.AddRouter(b.opts.Zones[n%len(b.opts.Zones)]); err != nil {
			return err
		}
	}
	return b.WaitReady(startTimeout)
}

func (b *Bed) startPlatform() error {
	l, err := listen()
	if err != nil {
		return err
	}
	b.Store = &standin.Store{Listener: l, Clock: b.clock}
	b.group.Go(func() error { return b.Store.Run(b.ctx) })
	if l, err = listen(); err != nil {
		return err
	}
	b.Weights = &standin.Weights{Listener: l, Clock: b.clock, PerSecond: 10, Burst: 10}
	if b.opts.ConfigureWeights != nil {
		b.opts.ConfigureWeights(b.Weights)
	}
	b.group.Go(func() error { return b.Weights.Run(b.ctx) })
	for _, zone := range b.opts.Zones {
		if l, err = listen(); err != nil {
			return err
		}
		list := &standin.Hosts{Listener: l, Clock: b.clock, Delay: b.opts.ListDelay}
		b.Lists[zone] = list
		b.group.Go(func() error { return list.Run(b.ctx) })
	}
	return nil
}

func (b *Bed) startEndpoints(zone string) error {
	for range b.opts.EnginesPerZone {
		if _, err := b.AddEngine(zone); err != nil {
			return err
		}
	}
	for n := 1; n <= b.opts.ServicesPerZone; n++ {
		l, err := listen()
		if err != nil {
			return err
		}
		s := &standin.Service{Name: fmt.Sprintf("profiles-%s%d", zone, n), Zone: zone, Listener: l}
		if len(b.Services) > 0 {
			s.Shared = b.Services[0]
		}
		if b.opts.ConfigureService != nil {
			b.opts.ConfigureService(s)
		}
		b.Services = append(b.Services, s)
		b.group.Go(func() error { return s.Run(b.ctx) })
	}
	return nil
}

// AddEngine starts another engine in the zone and adds it to the lists of hosts.
func (b *Bed) AddEngine(zone string) (*Engine, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	e := &standin.Engine{
		Name:            fmt.Sprintf("engine-%s%d", zone, len(b.Engines)+1),
		Zone:            zone,
		Listener:        l,
		Clock:           b.clock,
		Seed:            b.opts.Seed + uint64(len(b.Engines)),
		Models:          b.opts.Models,
		Slots:           8,
		TokenTime:       5 * time.Millisecond,
		PrefillPerToken: 20 * time.Microsecond,
		CacheTokens:     100_000,
		LoadReportDelay: 200 * time.Millisecond,
		EventDelay:      200 * time.Millisecond,
	}
	if b.opts.ConfigureEngine != nil {
		b.opts.ConfigureEngine(e)
	}
	ctx, stop := context.WithCancel(b.ctx)
	engine := &Engine{Engine: e, Stop: stop}
	b.Engines = append(b.Engines, engine)
	b.group.Go(func() error { return e.Run(ctx) })
	return engine, b.List(e.Name, hosts.KindEngine, zone, l.Addr().String())
}

// List adds a host to every zone's list, with the address at which that zone reaches it.
func (b *Bed) List(name string, kind hosts.Kind, zone, address string) error {
	for from, list := range b.Lists {
		reachedAt, err := b.Links.address(from, zone, name, address)
		if err != nil {
			return err
		}
		host, err := hosts.NewHost(reachedAt, map[string]string{
			"name": name, "kind": string(kind), "zone": zone, "state": string(hosts.StateLive),
		})
		if err != nil {
			return err
		}
		list.Set(host)
	}
	return nil
}

// Unlist removes a host from every zone's list.
func (b *Bed) Unlist(name string) {
	for _, list := range b.Lists {
		list.Remove(name)
	}
}

// MarkLeaving marks a host as leaving in every zone's list.
func (b *Bed) MarkLeaving(name string) {
	for _, list := range b.Lists {
		list.SetState(name, hosts.StateLeaving)
	}
}

// document returns the configuration with this bed's service replicas.
func (b *Bed) document() []byte {
	text := b.opts.Document
	if text == nil {
		text = examples.Kalimera
	}
	var replicas []string
	for _, s := range b.Services {
		replicas = append(replicas, s.Listener.Addr().String()+"@"+s.Zone)
	}
	return examples.WithReplicas(text, strings.Join(replicas, ", "))
}

// WriteDocument replaces the configuration in the store, with the operators' key.
func (b *Bed) WriteDocument(text []byte) error {
	client, closeClient, err := b.StoreClient()
	if err != nil {
		return err
	}
	defer closeClient()
	editor := &config.Editor{Store: client, Prefix: Prefix, Clock: b.clock}
	_, err = editor.Replace(b.ctx, OperatorKey, text, 0)
	return err
}

// EditDocument edits the configuration in the store. Conflicting edits are retried.
// After an error the edit may or may not have been accepted.
func (b *Bed) EditDocument(ctx context.Context, edit func(text []byte) []byte) error {
	client, closeClient, err := b.StoreClient()
	if err != nil {
		return err
	}
	defer closeClient()
	editor := &config.Editor{Store: client, Prefix: Prefix, Clock: b.clock}
	_, err = editor.Rewrite(ctx, OperatorKey, edit)
	return err
}

// StoreClient returns a client that connects to the store without a fault proxy, and a
// function that closes it.
func (b *Bed) StoreClient() (*store.Client, func(), error) {
	return store.New(store.Config{Addresses: []string{b.Store.Listener.Addr().String()}})
}

// CutZone silences every link between the zone and the other zones and the platform.
func (b *Bed) CutZone(zone string) { b.Links.silence(zone) }

// HealZone reverts CutZone. It resets the zone's connections.
func (b *Bed) HealZone(zone string) { b.Links.restoreAndReset(zone, true) }

// HealPeers reverts CutZone except for the links to the platform.
func (b *Bed) HealPeers(zone string) { b.Links.restoreAndReset(zone, false) }

// CutPlatform silences every link between the zone and the platform.
func (b *Bed) CutPlatform(zone string) {
	b.Links.eachPlatformLink(zone, func(p *faultproxy.Proxy) {
		p.SilenceOpen()
		p.Set(faultproxy.Fault{Silent: true})
	})
}

// HealPlatform reverts CutPlatform. It resets the connections to the platform.
func (b *Bed) HealPlatform(zone string) {
	b.Links.eachPlatformLink(zone, func(p *faultproxy.Proxy) {
		p.Heal()
		p.ResetConnections()
	})
}

// WaitReady waits until every running router reports that it is ready.
func (b *Bed) WaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(b.ctx, limit)
	defer cancel()
	for _, r := range b.Routers {
		for r.Running() && !r.Ready(ctx) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "router %s is not ready: %s", r.Name, r.LogTail())
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}
