package demo

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/callers"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/entry"
	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/hosts"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

// The size and speed of the demo's fleet.
const (
	routersPerZone  = 2
	enginesPerZone  = 7
	engineSlots     = 8
	tokenTime       = 5 * time.Millisecond
	prefillPerToken = 20 * time.Microsecond
	cacheTokens     = 100_000
	reportLag       = 200 * time.Millisecond
	listLag         = 500 * time.Millisecond
	listInterval    = 200 * time.Millisecond
	settleTime      = 500 * time.Millisecond
	drainTime       = 10 * time.Second
	idleBeforeStop  = 2 * time.Second
	storePrefix     = "peridotusher/"
	readyInterval   = 50 * time.Millisecond
	operatorKey     = "demo-operator-key"
)

var zones = []string{"a", "b", "c"}

// fleet holds the servers that the demo runs.
type fleet struct {
	group    *errgroup.Group
	log      logrus.FieldLogger
	seed     uint64
	clock    peridotusher.Clock
	started  time.Time
	store    *standin.Store
	hosts    *standin.Hosts
	hostsURL string
	engines  []*engine
	services []*standin.Service
	routers  []*router
}

// engine is a simulated engine with a function that stops it.
type engine struct {
	*standin.Engine
	stop context.CancelFunc
}

// router is a running entry.Host with the URL for its clients.
type router struct {
	name string
	url  string
	host *entry.Host
	stop context.CancelFunc
}

// newFleet starts the simulated servers and the routers in the group.
func newFleet(ctx context.Context, group *errgroup.Group, log logrus.FieldLogger, seed uint64) (*fleet, error) {
	f := &fleet{group: group, log: log, seed: seed, clock: peridotusher.ClockFunc(time.Now), started: time.Now()}
	storeListener, err := listen()
	if err != nil {
		return nil, err
	}
	f.store = &standin.Store{Listener: storeListener, Clock: f.clock}
	group.Go(func() error { return f.store.Run(ctx) })
	hostsListener, err := listen()
	if err != nil {
		return nil, err
	}
	f.hosts = &standin.Hosts{Listener: hostsListener, Clock: f.clock, Delay: listLag}
	f.hostsURL = "http://" + hostsListener.Addr().String() + "/"
	group.Go(func() error { return f.hosts.Run(ctx) })
	for _, zone := range zones {
		if err := f.startEndpoints(ctx, zone); err != nil {
			return nil, err
		}
	}
	if err := f.writeDocument(ctx, storeListener.Addr().String()); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for n := 1; n <= routersPerZone; n++ {
			if err := f.startRouter(ctx, zone, n, storeListener.Addr().String()); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *fleet) startEndpoints(ctx context.Context, zone string) error {
	for n := 1; n <= enginesPerZone; n++ {
		listener, err := listen()
		if err != nil {
			return err
		}
		e := &standin.Engine{
			Name:            fmt.Sprintf("engine-%s%d", zone, n),
			Zone:            zone,
			Listener:        listener,
			Clock:           f.clock,
			Seed:            f.seed,
			Models:          []standin.EngineModel{{Model: "stylist", Version: "v1"}, {Model: "stylist", Version: "v2"}},
			Slots:           engineSlots,
			TokenTime:       tokenTime,
			PrefillPerToken: prefillPerToken,
			CacheTokens:     cacheTokens,
			LoadReportDelay: reportLag,
			EventDelay:      reportLag,
		}
		engineCtx, stop := context.WithCancel(ctx)
		f.engines = append(f.engines, &engine{Engine: e, stop: stop})
		f.group.Go(func() error { return e.Run(engineCtx) })
		if err := f.addHost(e.Name, hosts.KindEngine, zone, listener); err != nil {
			return err
		}
	}
	listener, err := listen()
	if err != nil {
		return err
	}
	s := &standin.Service{Name: "profiles-" + zone, Zone: zone, Listener: listener}
	if len(f.services) > 0 {
		s.Shared = f.services[0]
	}
	f.services = append(f.services, s)
	f.group.Go(func() error { return s.Run(ctx) })
	return nil
}

// addHost adds a host to the platform's host list, under its listener's address.
func (f *fleet) addHost(name string, kind hosts.Kind, zone string, listener net.Listener) error {
	return f.addHostAddress(name, kind, zone, listener.Addr().String())
}

func (f *fleet) addHostAddress(name string, kind hosts.Kind, zone, address string) error {
	host, err := hosts.NewHost(address, map[string]string{
		"name": name, "kind": string(kind), "zone": zone, "state": string(hosts.StateLive),
	})
	if err != nil {
		return err
	}
	f.hosts.Set(host)
	return nil
}

// writeDocument stores the sample configuration with the replicas' addresses.
func (f *fleet) writeDocument(ctx context.Context, address string) error {
	client, closeClient, err := store.New(store.Config{Addresses: []string{address}})
	if err != nil {
		return err
	}
	defer closeClient()
	var replicas []string
	for _, s := range f.services {
		replicas = append(replicas, s.Listener.Addr().String()+"@"+s.Zone)
	}
	text := examples.WithReplicas(examples.Kalimera, strings.Join(replicas, ", "))
	editor := &config.Editor{Store: client, Prefix: storePrefix, Clock: f.clock}
	_, err = editor.Replace(ctx, operatorKey, text, 0)
	return err
}

func (f *fleet) startRouter(ctx context.Context, zone string, n int, storeAddress string) error {
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := listen()
		if err != nil {
			return err
		}
		listeners[i] = l
	}
	client, closeClient, err := store.New(store.Config{Addresses: []string{storeAddress}})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("router-%s%d", zone, n)
	host := &entry.Host{
		Name:          name,
		Zone:          zone,
		Caller:        listeners[0],
		Operator:      listeners[1],
		Peer:          listeners[2],
		OperatorKey:   document.HashKey(operatorKey),
		Prefix:        storePrefix,
		Store:         client,
		HostsURL:      f.hostsURL,
		HostsInterval: listInterval,
		Limits:        caller.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, Concurrent: 1000, HeaderTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: time.Minute},
		Settle:        settleTime,
		Drain:         drainTime,
		Clock:         f.clock,
		Log:           f.log.WithField("router", name),
		Seed:          f.seed + uint64(len(f.routers)),
	}
	ctx, stop := context.WithCancel(ctx)
	f.routers = append(f.routers, &router{name: name, url: "http://" + listeners[0].Addr().String(), host: host, stop: stop})
	f.group.Go(func() error {
		defer closeClient()
		defer f.hosts.Remove(name)
		return host.Run(ctx)
	})
	return f.addHost(name, hosts.KindRouter, zone, listeners[2])
}

// waitReady waits until every router is ready and sees all routers and engines.
func (f *fleet) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if f.allReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for the routers")
		case <-time.After(readyInterval):
		}
	}
}

func (f *fleet) allReady(ctx context.Context) bool {
	for _, r := range f.routers {
		if !callers.Ready(ctx, callers.Client, r.url) || r.host.LiveMembers() < len(f.routers) || r.host.ReadyEngines() < len(f.engines) {
			return false
		}
	}
	return true
}

// urls returns the routers' URLs for clients.
func (f *fleet) urls() []string {
	var urls []string
	for _, r := range f.routers {
		urls = append(urls, r.url)
	}
	return urls
}

// drainEngine lists an engine as leaving and stops it once it has been idle for idleBeforeStop.
func (f *fleet) drainEngine(ctx context.Context, e *engine) error {
	f.hosts.SetState(e.Name, hosts.StateLeaving)
	idleSince := time.Now()
	for time.Since(idleSince) < idleBeforeStop {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyInterval):
		}
		if stats := e.Stats(); stats.Running+stats.Waiting > 0 {
			idleSince = time.Now()
		}
	}
	e.stop()
	return nil
}

func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}
