package entry

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/settings"
	"peridotusher.example/peridotusher/store"
	"peridotusher.example/peridotusher/weights"
)

// weightsTimeout bounds one call to the weight store.
const weightsTimeout = 2 * time.Second

// New returns a host with the settings and a function that closes its
// clients. The listeners are to be set before Run.
func New(cfg *settings.Settings, log logrus.FieldLogger) (*Host, func(), error) {
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
		Store:         client,
		Leases:        client,
		Weights:       reserver,
		HostsURL:      cfg.Hosts().URL(),
		HostsInterval: cfg.Hosts().Every(),
		Settle:        cfg.Router().Settle(),
		Drain:         cfg.Router().Drain(),
		Clock:         peridotusher.ClockFunc(time.Now),
		Log:           log,
		Limits: caller.Limits{
			HeaderBytes:   cfg.Caller().Header(),
			BodyBytes:     int64(cfg.Caller().Body()),
			Concurrent:    cfg.Caller().Concurrent(),
			HeaderTimeout: cfg.Caller().Read(),
			BodyTimeout:   cfg.Caller().BodyTime(),
			IdleTimeout:   cfg.Caller().Idle(),
		},
	}
	return host, cleanup, nil
}
