package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/settings"
	"peridotusher.example/peridotusher/store"
)

// New returns a host with the settings and a function that closes its
// clients. The listeners are to be set before Run.
func New(cfg *settings.Settings, log logrus.FieldLogger) (*Host, func(), error) {
	client, closeStore, err := store.New(store.Config{Addresses: cfg.Store().Addresses(), Timeout: cfg.Store().Timeout()})
	if err != nil {
		return nil, nil, err
	}
	host := &Host{
		Name:          cfg.Router().Name(),
		Zone:          cfg.Router().Zone(),
		Address:       cfg.Peer().Advertise(),
		Prefix:        cfg.Store().Prefix() + "/",
		Store:         client,
		HostsURL:      cfg.Hosts().URL(),
		HostsInterval: cfg.Hosts().Every(),
		Settle:        cfg.Router().Settle(),
		Drain:         cfg.Router().Drain(),
		Clock:         peridotusher.ClockFunc(time.Now),
		Log:           log,
		StreamSecret:  cfg.Stream().Secret(),
		Limits: caller.Limits{
			HeaderBytes:   cfg.Caller().Header(),
			BodyBytes:     int64(cfg.Caller().Body()),
			Concurrent:    cfg.Caller().Concurrent(),
			HeaderTimeout: cfg.Caller().Read(),
			BodyTimeout:   cfg.Caller().BodyTime(),
			IdleTimeout:   cfg.Caller().Idle(),
		},
	}
	return host, closeStore, nil
}
