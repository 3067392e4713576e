package entry

import (
	"context"
	"net"
	"os"
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
	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/operator"
	"peridotusher.example/peridotusher/peer"
	"peridotusher.example/peridotusher/policies"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/service"
)

// Host is one router process. Its exported fields are set before Run.
type Host struct {
	Name          string
	Zone          string
	Caller        net.Listener
	Operator      net.Listener
	Peer          net.Listener
	Address       string             // where peers reach this router; empty for the Peer listener's address
	Prefix        string             // prefix of the keys in the store
	PeerTLS       *peer.Certificates // nil connects to peers without encryption
	PeerPlain     bool               // allows plain TCP to peers on other hosts
	PeerBudget    int                // limit of control traffic in bytes per second; zero for none
	PeerVersion   uint32             // peer protocol version, set by tests of upgrades; zero for the newest
	OperatorKey   string             // hash of the operators' key, see document.HashKey
	Store         Store
	Leases        Leases  // nil if this router issues no orders to engines
	Weights       Weights // nil if this router issues no orders to engines
	HostsURL      string  // URL of the platform's list of hosts
	HostsInterval time.Duration
	Limits        caller.Limits
	Settle        time.Duration // time for the load balancer to notice that this router is stopping
	Drain         time.Duration // maximum duration of a graceful shutdown
	Clock         peridotusher.Clock
	Log           logrus.FieldLogger
	Seed          uint64
	StreamSecret  string           // signs event ids; streams cannot be resumed if empty
	Hangup        <-chan os.Signal // SIGHUP, which is logged only; nil for none

	source        *config.Source
	built         atomic.Bool
	enginesKnown  atomic.Bool // latched by knowsEngines
	members       *peridotusher.Members
	engines       *peridotusher.Engines
	listing       peridotusher.Listing
	ledger        *peridotusher.Ledger
	owner         *peridotusher.Owner
	ingress       *peridotusher.Ingress
	node          *peer.Node
	engineClient  *engine.Client
	serviceClient *service.Client
	claims        *claimTable
	streams       streamTable
	retries       retries
	rates         *serviceRates
	// quarantine holds which messages of chats crash engines, as far as this router has seen.
	quarantine *quarantine.Table
	metrics    *operator.Metrics
	burn       *peridotusher.Burn
	started    time.Time
	stop       context.CancelFunc
	health     *healthTable

	eligibility *eligibilityTable
}

// Run serves requests until ctx ends and those in flight have been answered.
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
	group.Go(func() error { return h.broadcastRates(background) })
	group.Go(func() error { return h.runEngineTasks(background) })
	group.Go(func() error { return h.operatorServer().Run(background) })
	group.Go(func() error { return h.announceLeaving(ctx, background) })
	group.Go(func() error { return h.logHangups(background) })
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

// serveCallers serves clients until ctx ends or a background task fails.
func (h *Host) serveCallers(ctx, background context.Context) error {
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	stop := context.AfterFunc(background, stopServing)
	defer stop()
	server := &caller.Server{
		Listener: h.Caller,
		Chats:    &chatHandler{host: h},
		Services: &serviceHandler{host: h},
		Document: h.Document,
		Ready:    h.knowsEngines,
		Clock:    h.Clock,
		Log:      h.Log,
		NewID:    uuid.NewString,
		Limits:   h.Limits,
		Settle:   h.Settle,
		Drain:    h.Drain,
		Record:   h.record,
		Refused:  func(reason httpserve.Refusal) { h.metrics.CountRefusal("callers", reason) },
	}
	h.Log.WithFields(logrus.Fields{"router": h.Name, "zone": h.Zone, "callers": h.Caller.Addr()}).Info("router started")
	err := server.Run(serving)
	h.Log.WithFields(logrus.Fields{"router": h.Name, "in_flight": server.InFlight()}).Info("router stopped")
	return err
}

// logHangups logs SIGHUP until ctx ends. It changes nothing, since new settings require a restart.
func (h *Host) logHangups(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-h.Hangup:
			h.Log.WithField("signal", s.String()).Warn("signal ignored: a restart applies new settings")
		}
	}
}

// announceLeaving announces to the other routers that this one is stopping when
// ctx ends, unless the background tasks end first.
func (h *Host) announceLeaving(ctx, background context.Context) error {
	select {
	case <-background.Done():
		return nil
	case <-ctx.Done():
	}
	if err := h.node.AnnounceLeaving(background); err != nil {
		h.Log.WithError(err).Warn("leave notice not sent to other routers")
	}
	return nil
}

// build creates the tables and clients, and returns a function that closes the
// clients.
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
	h.quarantine = quarantine.NewTable(h.Clock)
	h.eligibility = newEligibilityTable(h.engines)
	h.node = &peer.Node{
		Self:           self,
		Listener:       h.Peer,
		Members:        h.members,
		LoadSource:     ownedLoads{ledger: h.ledger},
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
	h.registerPeerMetrics()
	h.buildClaims()
	h.buildRates()
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
	h.engineClient = models
	h.serviceClient = plain
	return func() {
		closeModels()
		closePlain()
	}, nil
}

// loadSink stores the engine loads that other routers report as owners.
type loadSink struct{ host *Host }

// SetLoads implements peer.LoadSink.
func (s loadSink) SetLoads(_ peridotusher.RouterID, loads []peridotusher.EngineLoad) {
	s.host.ledger.SetRemote(s.host.Clock.Now(), loads)
}
