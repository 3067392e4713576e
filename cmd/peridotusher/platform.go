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
	"peridotusher.example/peridotusher/signals"
)

// heapGrowth is the GOGC percentage. It is below the default of 100, because on small hosts
// memory is scarcer than CPU time.
const heapGrowth = 50

// memoryShare is the share of the host's memory from which on the garbage collector runs more often, in percent. The
// rest is for what it does not manage.
const memoryShare = 75

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one router on a platform with a store of its own, until SIGTERM",
		Description: "SIGTERM ends the requests in flight and exits with 0. SIGHUP reads the settings again.\n" +
			"Example: peridotusher platform --settings edge.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process", Required: true, Sources: cli.EnvVars("PERIDOTUSHER_CONFIG")},
			&cli.StringFlag{Name: "metrics", Usage: "`PORT` of the counters on the peers' address"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := cmd.String("settings")
			cfg, problems := edge.Load(path)
			if err := printProblems(cmd, problems); err != nil {
				return err
			}
			debug.SetGCPercent(heapGrowth)
			debug.SetMemoryLimit(cfg.MemoryBytes() / 100 * memoryShare)
			return runEdge(ctx, cfg, path, cmd.String("metrics"))
		},
	}
}

// runEdge runs a router until ctx is canceled. The event log is stopped after the router, so that
// its last events are written.
func runEdge(ctx context.Context, cfg *edge.Settings, path, metricsPort string) error {
	store, cleanup := platform.NewClient(cfg.StoreAddress())
	defer cleanup()
	log := eventlog.New(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return log.Run(logCtx) })
	router := &edge.Router{
		Settings: cfg, SettingsPath: path, Hangup: signals.Hangup(), Source: store, Discovery: store, Decode: platform.DecodeDocument,
		Dialect: platform.Dialect{}, Log: log, SharesCapacity: platform.SharesCapacity,
	}
	if metricsPort != "" {
		router.MetricsAddress = net.JoinHostPort(cfg.PeerAddress(), metricsPort)
	}
	err := router.Run(ctx)
	stopLog()
	if failed := group.Wait(); failed != nil && err == nil {
		return failed
	}
	return err
}
