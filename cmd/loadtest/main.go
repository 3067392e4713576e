// Command loadtest measures a fleet of real router processes on loopback and
// prints one line of key=value pairs for each run.
//
// # Usage
//
//	loadtest --scenario steady --policy bounded --seed 1 --duration 20s
//	loadtest --scenario surge --policy all --plot surge.png
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/loadtest"
	"peridotusher.example/peridotusher/testbed"
)

// placements are the placement policies to compare, the router's default first.
var placements = []document.Placement{
	document.PlacementBounded, document.PlacementRendezvous, document.PlacementTwoChoices,
	document.PlacementRoundRobin, document.PlacementRandom,
}

func main() {
	// The routers that it starts outlive SIGHUP, so that signal has to end them too.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "loadtest",
		Usage: "measure placement and admission with real router processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: string(loadtest.Steady), Usage: "one of " + joinNames(loadtest.Scenarios())},
			&cli.StringFlag{Name: "policy", Value: string(document.PlacementBounded), Usage: "all, or one of " + joinNames(placements)},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of traffic and faults"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "measured `TIME` after the warm-up"},
			&cli.FloatFlag{Name: "rate", Value: 4.6, Usage: "requests a second of each router"},
			&cli.DurationFlag{Name: "token", Value: 20 * time.Millisecond, Usage: "`TIME` of one step of an engine's batch"},
			&cli.StringMapFlag{Name: "set", Usage: "set `KEY=VALUE` in the document's policy section"},
			&cli.StringFlag{Name: "plot", Usage: "write a picture to `FILE`"},
			&cli.StringFlag{Name: "dir", Usage: "keep the routers' logs in `DIR`"},
		},
		Action: run,
	}
}

func joinNames[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, name := range list {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

// run builds the router binary and runs the scenario with each selected placement policy.
func run(ctx context.Context, cmd *cli.Command) error {
	dir := cmd.String("dir")
	if dir == "" {
		temporary, err := os.MkdirTemp("", "loadtest")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	binary, err := testbed.Build(ctx, dir)
	if err != nil {
		return err
	}
	selected := placements
	if name := cmd.String("policy"); name != "all" {
		selected = []document.Placement{document.Placement(name)}
	}
	for _, placement := range selected {
		if err := runPlacement(ctx, cmd, binary, filepath.Join(dir, string(placement)), placement); err != nil {
			return err
		}
	}
	return nil
}

func runPlacement(ctx context.Context, cmd *cli.Command, binary, dir string, placement document.Placement) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	test := &loadtest.Test{
		Scenario:  loadtest.Scenario(cmd.String("scenario")),
		Placement: placement,
		Policy:    cmd.StringMap("set"),
		Seed:      cmd.Uint64("seed"),
		Duration:  cmd.Duration("duration"),
		Rate:      cmd.Float("rate"),
		TokenTime: cmd.Duration("token"),
		Dir:       dir,
		Binary:    binary,
	}
	report, err := test.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.Root().Writer, report.Line())
	if path := cmd.String("plot"); path != "" {
		return report.Plot(path)
	}
	return nil
}
