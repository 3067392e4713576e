package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/operator"
	"peridotusher.example/peridotusher/peer"
	"peridotusher.example/peridotusher/policies"
	"peridotusher.example/peridotusher/service"
)

// Host is one router process.
type Host struct {
	Name          string
	Zone          string
	Caller        net.Listener
	Operator      net.Listener
	Peer          net.Listener
	Address       string             // where peers reach this router, the Peer listener's address if empty
	Prefix        string             // prefix of the store's keys
	PeerTLS       *peer.Certificates // nil connects to peers without encryption
	PeerPlain     bool               // plain TCP to peers may leave this host
	PeerBudget    int                // bytes per second of control traffic; zero for no limit
	PeerVersion   uint32             // protocol version for tests of upgrades; zero for the newest
	OperatorKey   string             // hash of the operators' key, see document.HashKey
	Store         Store
	Leases        Leases  // nil gives no orders
	Weights       Weights // nil gives no orders
	HostsURL      string  // the platform's list of hosts
	HostsInterval time.Duration
	Limits        caller.Limits
	Settle        time.Duration // time for the balancer to notice a stop
	Drain         time.Duration // longest graceful shutdown
	Clock         peridotusher.Clock
	Log           logrus.FieldLogger
	Seed          uint64
	StreamSecret  string // signs event ids; streams cannot be resumed if empty

	source  *config.Source
	built   atomic.Bool
	learned atomic.Bool // the engines are known well enough to serve
	members *peridotusher.Members
	engines *peridotusher.Engines
	listing peridotusher.Listing
	ledger  *peridotusher.Ledger
	owner   *peridotusher.Owner
	ingress *peridotusher.Ingress
	node    *peer.Node
	models  *engine.Client
	plain   *service.Client
	claims  *claimTable
	streams streamTable
	retries retries
	metrics *operator.Metrics
	burn    *peridotusher.Burn
	started time.Time
	stop    context.CancelFunc
	health  *healthTable

	standings *standings
}

// Run serves until ctx ends and the requests in flight have been answered.
func (h *Host) Run(ctx context.Context) error {
	ctx, h.stop = context.WithCancel(ctx)
	defer h.stop()
	closeClients, err := h.build()
	if err != nil {
		return err
	}
	defer closeClients()
	h.built.Store(true)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return h.node.Run(background) })
	group.Go(func() error { return h.source.Run(background) })
	group.Go(func() error { return h.claims.Run(background) })
	group.Go(func() error { return h.watchHosts(background) })
	group.Go(func() error { return h.pollLoads(background) })
	group.Go(func() error { return h.runAdmission(background) })
	group.Go(func() error { return h.runEngines(background) })
	group.Go(func() error { return h.operatorServer().Run(background) })
	group.Go(func() error { return h.announceLeaving(ctx, background) })
	group.Go(func() error {
		defer stopBackground()
		return h.serveCallers(ctx, background)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveCallers serves until ctx ends or a part of the host fails.
func (h *Host) serveCallers(ctx, background context.Context) error {
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	stop := context.AfterFunc(background, stopServing)
	defer stop()
	server := &caller.Server{
		Listener: h.Caller,
		Chats:    &chats{host: h},
		Services: &services{host: h},
		Document: h.Document,
		Ready:    h.knowsEngines,
		Clock:    h.Clock,
		Log:      h.Log,
		NewID:    uuid.NewString,
		Limits:   h.Limits,
		Settle:   h.Settle,
		Drain:    h.Drain,
		Record:   h.record,
	}
	h.Log.WithFields(logrus.Fields{"router": h.Name, "zone": h.Zone, "callers": h.Caller.Addr()}).Info("router started")
	err := server.Run(serving)
	h.Log.WithFields(logrus.Fields{"router": h.Name, "in_flight": server.InFlight()}).Info("router stopped")
	return err
}

// announceLeaving tells the other routers of the planned stop when ctx ends,
// unless the background work ends first.
func (h *Host) announceLeaving(ctx, background context.Context) error {
	select {
	case <-background.Done():
		return nil
	case <-ctx.Done():
	}
	if err := h.node.AnnounceLeaving(background); err != nil {
		h.Log.WithError(err).Warn("leaving notice not sent")
	}
	return nil
}

// build fills the tables and the clients.
func (h *Host) build() (func(), error) {
	address := h.Address
	if address == "" {
		address = h.Peer.Addr().String()
	}
	self := peridotusher.NewMember(peridotusher.RouterID(h.Name), peridotusher.Zone(h.Zone), address, uint64(h.Clock.Now().UnixNano()))
	h.members = peridotusher.NewMembers(self, h.Clock)
	h.engines = peridotusher.NewEngines()
	h.ledger = peridotusher.NewLedger()
	h.buildOperator()
	placer := &peridotusher.Placer{Engines: h.engines, Loads: h.ledger, Policies: policies.All(h.Seed, h.ledger)}
	h.health = newHealthTable(h.Clock)
	h.standings = newStandings(h.engines)
	h.node = &peer.Node{
		Self:           self,
		Listener:       h.Peer,
		Members:        h.members,
		LoadSource:     loadNews{ledger: h.ledger},
		LoadSink:       loadSink{host: h},
		TLS:            h.PeerTLS,
		AllowPlaintext: h.PeerPlain,
		BytesPerSecond: h.PeerBudget,
		Version:        h.PeerVersion,
		Clock:          h.Clock,
		Log:            h.Log,
		Seed:           h.Seed,
	}
	h.node.SetOperatorAddress(h.operatorAddress())
	h.buildAdmission(placer)
	h.buildSource()
	h.node.HandleHealth(healthHandler{host: h})
	h.measurePeers()
	h.buildAnswers()
	return h.buildClients()
}

func (h *Host) buildClients() (func(), error) {
	models, closeModels, err := engine.New(engine.Options{Clock: h.Clock, Discarded: h.countDiscarded})
	if err != nil {
		return nil, err
	}
	plain, closePlain, err := service.New(service.Options{})
	if err != nil {
		closeModels()
		return nil, err
	}
	h.models = models
	h.plain = plain
	return func() {
		closeModels()
		closePlain()
	}, nil
}

// loadSink takes the loads that other owners report.
type loadSink struct{ host *Host }

// SetLoads implements peer.LoadSink.
func (s loadSink) SetLoads(_ peridotusher.RouterID, loads []peridotusher.EngineLoad) {
	s.host.ledger.SetRemote(s.host.Clock.Now(), loads)
}
