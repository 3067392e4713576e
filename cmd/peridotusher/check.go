package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file or a configuration document",
		ArgsUsage: "FILE",
		Description: "Names every wrong or unknown key with file, line and what is allowed.\n" +
			"Example: peridotusher check examples/kalimera.ini",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return cli.Exit("check takes one file", exitInvalid)
			}
			problems, err := settings.CheckFile(cmd.Args().First())
			if err != nil {
				return cli.Exit(err, exitFailure)
			}
			if err := printProblems(cmd, problems); err != nil {
				return err
			}
			fmt.Fprintln(cmd.Root().Writer, "ok")
			return nil
		},
	}
}
