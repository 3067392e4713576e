package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/store"
)

// keyVariable is the environment variable with the default of the flag key.
const keyVariable = "PERIDOTUSHER_KEY"

// storeFlags are the flags of commands that read or edit the configuration in the store.
func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "store", Usage: "`ADDRESS` of the key-value service, may be repeated", Required: true},
		&cli.StringFlag{Name: "prefix", Usage: "`PREFIX` of the keys in the store", Value: "peridotusher"},
		&cli.StringFlag{Name: "team", Usage: "`NAME` of the editing team"},
		&cli.StringFlag{Name: "key", Usage: "`KEY` of the team", Sources: cli.EnvVars(keyVariable)},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` for the command", Value: time.Minute},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "read and edit the configuration in the store",
		Description: "Without --team the key is that of the platform's operators, who may edit everything.\n" +
			"Exit codes: 0 success, 1 failure, 2 invalid document or arguments, 3 conflict.\n" +
			"Example: peridotusher config --store 10.0.0.7:2379 get 'class chat'",
		Flags: storeFlags(),
		Commands: []*cli.Command{
			configGetCommand(),
			configEditCommand(),
			configApplyCommand(),
			configDiffCommand(),
			configLogCommand(),
			configCheckCommand(),
		},
	}
}

// configAction is the action of a command that reads or edits the document in the store.
type configAction func(ctx context.Context, cmd *cli.Command, e *config.Editor) error

// withEditor returns a command action that connects to the store, runs the given action with an
// editor and gives its error an exit code.
func withEditor(action configAction) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		client, closeClient, err := store.New(store.Config{Addresses: cmd.StringSlice("store")})
		if err != nil {
			return cli.Exit(err, exitInvalid)
		}
		defer closeClient()
		e := &config.Editor{
			Store:  client,
			Prefix: cmd.String("prefix") + "/",
			Clock:  peridotusher.ClockFunc(time.Now),
		}
		return withConfigExitCode(action(ctx, cmd, e))
	}
}

// withConfigExitCode wraps an error with the exit code of its kind.
func withConfigExitCode(err error) error {
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	var exit cli.ExitCoder
	switch {
	case err == nil || errors.As(err, &exit):
		return err
	case errors.As(err, &conflict):
		return cli.Exit(err, exitConflict)
	case errors.As(err, &invalid):
		return cli.Exit(err, exitInvalid)
	default:
		return cli.Exit(err, exitFailure)
	}
}

// credentials returns the team and key that the flags name.
func credentials(cmd *cli.Command) config.Credentials {
	return config.Credentials{Team: cmd.String("team"), Key: cmd.String("key")}
}

// readInput reads a file, or the standard input for "-".
func readInput(cmd *cli.Command, name string) ([]byte, error) {
	if name != "-" {
		return os.ReadFile(name)
	}
	return io.ReadAll(cmd.Root().Reader)
}
