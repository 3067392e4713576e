package main

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole fleet with stand-ins on loopback",
		Description: "Example: peridotusher demo\n" +
			"Example: peridotusher demo --stay --settings /tmp",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the traffic", Value: 1},
			&cli.BoolFlag{Name: "stay", Usage: "keep the fleet running until Ctrl-C and print its addresses"},
			&cli.StringFlag{Name: "settings", Usage: "with --stay, write the settings of one more router into `FOLDER`"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the routers' logs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := logrus.New()
			log.SetOutput(cmd.Root().ErrWriter)
			log.SetLevel(logrus.ErrorLevel)
			if cmd.Bool("verbose") {
				log.SetLevel(logrus.InfoLevel)
			}
			out := cmd.Root().Writer
			d := &demo.Demo{Out: out, Log: log, Seed: cmd.Uint64("seed"), Stay: cmd.Bool("stay"), Settings: cmd.String("settings")}
			if err := d.Run(ctx); err != nil {
				fmt.Fprintf(out, "demo failed: %v\n", err)
				return cli.Exit("", exitFailure)
			}
			fmt.Fprintln(out, "demo ok")
			return nil
		},
	}
}
