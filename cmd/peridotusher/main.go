// Command peridotusher runs and operates a router fleet for returning chats.
//
// # Usage
//
//	peridotusher demo
//	peridotusher serve --settings router.ini
//	peridotusher platform --settings edge.ini
//	peridotusher check FILE
//	peridotusher status
//	peridotusher explain --org ORGANISATION --model MODEL --chat CHAT
//	peridotusher account --by route FILES
//	peridotusher drain ROUTER or ENGINE
//	peridotusher report --html FILE
//	source <(peridotusher completion bash)
//	peridotusher config --store ADDRESS get
//	peridotusher plan --document FILE --state FILE
//	peridotusher rollout --store ADDRESS back MODEL
//
// Exit codes: 0 success, 1 failure, 2 invalid settings, document or arguments,
// 3 conflict of edits, 4 the answer shows a problem, 5 no such name.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/ini"
	"peridotusher.example/peridotusher/signals"
)

// The exit codes.
const (
	exitFailure = 1
	exitInvalid = 2
	// exitConflict means that an edited section was changed by someone else since its base version.
	exitConflict = 3
	// exitProblem means that the command ran and its answer shows a problem, such as a missing router.
	exitProblem = 4
	// exitUnknown means that no router, or no log, has the name.
	exitUnknown = 5
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args))
}

// run runs one command and returns its exit code.
func run(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:                  "peridotusher",
		Usage:                 "a router fleet for returning chats",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err, exitInvalid)
		},
		Commands: append(routerCommands(), toolCommands()...),
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(os.Stderr, text)
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return exitFailure
}

// routerCommands returns the commands that run a router until SIGTERM. Neither SIGHUP nor the end of
// their log's reader ends them.
func routerCommands() []*cli.Command {
	commands := []*cli.Command{serveCommand(), platformCommand()}
	for _, c := range commands {
		c.Before = func(ctx context.Context, _ *cli.Command) (context.Context, error) {
			signals.IgnoreBrokenPipe()
			return ctx, nil
		}
	}
	return commands
}

// toolCommands returns the commands that SIGHUP ends, as when their terminal is closed.
func toolCommands() []*cli.Command {
	commands := []*cli.Command{
		demoCommand(),
		checkCommand(),
		statusCommand(),
		explainCommand(),
		accountCommand(),
		drainCommand(),
		reportCommand(),
		configCommand(),
		planCommand(),
		rolloutCommand(),
	}
	for _, c := range commands {
		c.Before = func(ctx context.Context, _ *cli.Command) (context.Context, error) {
			return ctx, signals.RestoreHangup()
		}
	}
	return commands
}

// printProblems prints the problems found in a file to standard error. It returns an error with
// exitInvalid, nil if there are no problems.
func printProblems(cmd *cli.Command, problems []ini.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	for _, p := range problems {
		fmt.Fprintln(cmd.Root().ErrWriter, p)
	}
	return cli.Exit("", exitInvalid)
}
