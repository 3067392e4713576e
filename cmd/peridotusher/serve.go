package main

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/entry"
	"peridotusher.example/peridotusher/settings"
	"peridotusher.example/peridotusher/signals"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one router until SIGTERM",
		Description: "SIGTERM ends the requests in flight and exits with 0. SIGHUP is ignored: new settings require a restart.\n" +
			"Example: peridotusher serve --settings router.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process", Required: true},
			&cli.Uint32Flag{Name: "protocol", Usage: "protocol `VERSION` to speak to other routers; only for tests of upgrades", Hidden: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, problems := settings.Load(cmd.String("settings"))
			if err := printProblems(cmd, problems); err != nil {
				return err
			}
			return serve(ctx, cfg, cmd.Uint32("protocol"))
		},
	}
}

// serve runs a router with the settings until ctx is canceled. Protocol is the version of the
// peer protocol, the latest if zero.
func serve(ctx context.Context, cfg *settings.Settings, protocol uint32) error {
	log := logrus.New()
	level, err := logrus.ParseLevel(cfg.Router().Log())
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	host, cleanup, err := entry.New(cfg, log)
	if err != nil {
		return err
	}
	defer cleanup()
	host.PeerVersion = protocol
	host.Hangup = signals.Hangup()
	host.Caller, err = net.Listen("tcp", cfg.Caller().Listen())
	if err != nil {
		return err
	}
	host.Operator, err = net.Listen("tcp", cfg.Operator().Listen())
	if err != nil {
		return err
	}
	host.Peer, err = net.Listen("tcp", cfg.Peer().Listen())
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
