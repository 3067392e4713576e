package main

import (
	"context"
	"net"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/edge"
	"peridotusher.example/peridotusher/eventlog"
	"peridotusher.example/peridotusher/platform"
)

// heapGrowth is the growth of the heap in percent at which it is collected:
// memory is dearer than processor time on small hosts.
const heapGrowth = 50

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one router on a platform with a store of its own, until SIGTERM",
		Description: "SIGTERM ends the requests in flight and exits with 0.\n" +
			"Example: peridotusher platform --settings edge.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process", Required: true, Sources: cli.EnvVars("PERIDOTUSHER_CONFIG")},
			&cli.StringFlag{Name: "metrics", Usage: "`PORT` of the counters on the peers' address"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := cmd.String("settings")
			cfg, problems := edge.Load(path)
			if err := invalid(cmd, problems); err != nil {
				return err
			}
			debug.SetGCPercent(heapGrowth)
			return runEdge(ctx, cfg, path, cmd.String("metrics"))
		},
	}
}

// runEdge runs a router until ctx ends.
func runEdge(ctx context.Context, cfg *edge.Settings, path, metricsPort string) error {
	store, cleanup := platform.NewClient(cfg.StoreAddress())
	defer cleanup()
	log := eventlog.New(os.Stdout)
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return log.Run(writing) })
	router := &edge.Router{
		Settings: cfg, SettingsPath: path, Source: store, Decode: platform.DecodeDocument,
		Dialect: platform.Dialect{}, Log: log, SharesCapacity: platform.SharesCapacity,
	}
	if metricsPort != "" {
		router.MetricsAddress = net.JoinHostPort(cfg.PeerAddress(), metricsPort)
	}
	err := router.Run(ctx)
	stopWriting()
	if failed := group.Wait(); failed != nil && err == nil {
		return failed
	}
	return err
}
