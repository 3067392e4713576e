package entry

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/peer"
	"peridotusher.example/peridotusher/settings"
	"peridotusher.example/peridotusher/store"
	"peridotusher.example/peridotusher/weights"
)

// weightsTimeout bounds one call to the weight store.
const weightsTimeout = 2 * time.Second

// errPlainTCP rejects settings that would connect to peers on other hosts by
// plain TCP.
var errPlainTCP = errors.New("[peer] has no cert, and plain = no allows plain TCP on loopback only")

// New returns a host configured from the settings, and a function that closes
// its clients. The caller must set the listeners before it calls Run.
func New(cfg *settings.Settings, log logrus.FieldLogger) (*Host, func(), error) {
	certificates, err := peerCertificates(cfg.Peer())
	if err != nil {
		return nil, nil, err
	}
	client, closeStore, err := store.New(store.Config{Addresses: cfg.Store().Addresses(), Timeout: cfg.Store().Timeout()})
	if err != nil {
		return nil, nil, err
	}
	reserver, closeWeights := weights.New(strings.TrimSuffix(cfg.Weights().URL(), "/"), weightsTimeout)
	cleanup := func() {
		closeStore()
		closeWeights()
	}
	host := &Host{
		Name:          cfg.Router().Name(),
		Zone:          cfg.Router().Zone(),
		Address:       cfg.Peer().Advertise(),
		OperatorKey:   cfg.Operator().KeyHash(),
		Prefix:        cfg.Store().Prefix() + "/",
		PeerTLS:       certificates,
		PeerPlain:     cfg.Peer().Plain(),
		PeerBudget:    cfg.Peer().Budget(),
		Store:         client,
		Leases:        client,
		Weights:       reserver,
		HostsURL:      cfg.Hosts().URL(),
		HostsInterval: cfg.Hosts().ReadInterval(),
		Settle:        cfg.Router().Settle(),
		Drain:         cfg.Router().Drain(),
		Clock:         peridotusher.ClockFunc(time.Now),
		Log:           log,
		StreamSecret:  cfg.Stream().Secret(),
		Limits: caller.Limits{
			HeaderBytes:   cfg.Caller().Header(),
			BodyBytes:     int64(cfg.Caller().Body()),
			Concurrent:    cfg.Caller().Concurrent(),
			Connections:   cfg.Caller().Conns(),
			HeaderMemory:  int64(cfg.Caller().Heads()),
			HeaderTimeout: cfg.Caller().Read(),
			BodyTimeout:   cfg.Caller().BodyTime(),
			IdleTimeout:   cfg.Caller().Idle(),
		},
	}
	return host, cleanup, nil
}

// peerCertificates loads the certificates named in the settings. It returns nil
// if there are none and the settings allow plain TCP.
func peerCertificates(cfg settings.Peer) (*peer.Certificates, error) {
	if cfg.Cert() != "" {
		return peer.LoadCertificates(cfg.Cert(), cfg.Key(), cfg.CA())
	}
	address, err := netip.ParseAddrPort(cfg.Advertise())
	if err != nil {
		return nil, err
	}
	if !cfg.Plain() && !address.Addr().IsLoopback() {
		return nil, errPlainTCP
	}
	return nil, nil
}
