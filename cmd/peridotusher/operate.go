package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/operator"
)

// exitCodes is the end of the help text of every command that queries routers.
const exitCodes = "\nExit codes: 0 all is well, 1 no router answered, 2 wrong arguments, 4 the answer shows a problem, 5 no such name."

// routerFlags returns the flags of a command that queries routers, with more of its own.
func routerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "router", Usage: "`ADDRESS` for operators of any router; may be repeated", Value: []string{"127.0.0.1:8001"}},
		&cli.StringFlag{Name: "key", Usage: "operators' `KEY`", Sources: cli.EnvVars(keyVariable)},
		&cli.DurationFlag{Name: "timeout", Usage: "limit of one router's answer"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, more...)
}

func newClient(cmd *cli.Command) *operator.Client {
	return &operator.Client{Routers: cmd.StringSlice("router"), Key: cmd.String("key"), Timeout: cmd.Duration("timeout")}
}

// printable is an answer that can be printed as text or JSON.
type printable interface {
	json.Marshaler
	Text(w io.Writer) error
}

func printAnswer(cmd *cli.Command, p printable) error {
	w := cmd.Root().Writer
	if !cmd.Bool("json") {
		return p.Text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(p)
}

// withClientExitCode wraps an error of the operator client with the exit code of its kind.
func withClientExitCode(err error) error {
	if errors.Is(err, operator.ErrNotFound) {
		return cli.Exit(err.Error(), exitUnknown)
	}
	return cli.Exit(err.Error(), exitFailure)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show routers, engines with their owners and loads, and who disagrees",
		Description: "Asks every router that the first one names.\n" +
			"Example: peridotusher status --router 192.0.2.1:8001\n" +
			"Example: peridotusher status --json | jq '.routers[].engines'" + exitCodes,
		Flags: routerFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			status, err := newClient(cmd).Status(ctx)
			if err != nil {
				return withClientExitCode(err)
			}
			if err := printAnswer(cmd, status); err != nil {
				return err
			}
			if !status.Healthy() {
				return cli.Exit("", exitProblem)
			}
			return nil
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show why a chat goes where it goes, or what happened to a request",
		Description: "With --org, --model and --chat it shows version, rule and ranking of engines as one router sees them now.\n" +
			"With --id it reads logs of routers, from FILES or standard input, and shows one request's story across them.\n" +
			"Example: peridotusher explain --org shop-athina --model stylist --chat chat-7\n" +
			"Example: peridotusher explain --id 5aed36012fbd6701 edge-1.log edge-2.log" + exitCodes,
		ArgsUsage: "[FILES]",
		Flags: routerFlags(
			&cli.StringFlag{Name: "id", Usage: "`ID` of a request in the logs"},
			&cli.StringFlag{Name: "org", Usage: "`ORGANISATION` of the chat"},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` that is asked"},
			&cli.StringFlag{Name: "chat", Usage: "the chat's prompt_cache_key or X-Chat-Id"},
			&cli.StringFlag{Name: "class", Usage: "`CLASS` of the request, the organisation's default if empty"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.IsSet("id") {
				return explainRequest(cmd)
			}
			for _, name := range []string{"org", "model", "chat"} {
				if !cmd.IsSet(name) {
					return cli.Exit("explain takes --id, or --org, --model and --chat: --"+name+" is missing", exitInvalid)
				}
			}
			explanation, err := newClient(cmd).Explain(ctx, cmd.String("org"), cmd.String("model"), cmd.String("chat"), cmd.String("class"))
			if err != nil {
				return withClientExitCode(err)
			}
			return printAnswer(cmd, explanation)
		},
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show the fleet's service-level burn",
		Description: "Adds up the counts of every router and names those that are missing.\n" +
			"Example: peridotusher report --router 192.0.2.1:8001\n" +
			"Example: peridotusher report --html burn.html" + exitCodes,
		Flags: routerFlags(&cli.StringFlag{Name: "html", Usage: "write one page with plots to `FILE`"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := newClient(cmd).Report(ctx)
			if err != nil {
				return withClientExitCode(err)
			}
			if path := cmd.String("html"); path != "" {
				if err := writePage(path, report); err != nil {
					return err
				}
			}
			if err := printAnswer(cmd, report); err != nil {
				return err
			}
			if !report.Complete() || report.Alarmed() {
				return cli.Exit("", exitProblem)
			}
			return nil
		},
	}
}

func writePage(path string, report *operator.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(report.HTML(f), f.Close())
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop a router gracefully, or give an engine no new work",
		ArgsUsage: "NAME",
		Description: "A router ends what is in flight and its process exits with 0.\n" +
			"An engine gets no new work from the routers that run now. Mark it as leaving in the platform's list too:\n" +
			"a router that starts later learns of it only there.\n" +
			"Example: peridotusher drain router-a1\n" +
			"Example: peridotusher drain engine-b3" + exitCodes,
		Flags: routerFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return cli.Exit("drain takes the name of one router or engine", exitInvalid)
			}
			return drain(ctx, cmd, cmd.Args().First())
		},
	}
}

// drain drains the router with the name, or the engine if no router has it.
func drain(ctx context.Context, cmd *cli.Command, name string) error {
	client := newClient(cmd)
	w := cmd.Root().Writer
	err := client.DrainRouter(ctx, name)
	if err == nil {
		return printDrain(cmd, drainOutput{Router: name}, fmt.Sprintf("router %s is stopping", name))
	}
	if !errors.Is(err, operator.ErrNotFound) {
		return withClientExitCode(err)
	}
	accepted, err := client.DrainEngine(ctx, name)
	if len(accepted) == 0 {
		return withClientExitCode(err)
	}
	if printErr := printDrain(cmd, drainOutput{Engine: name, Accepted: accepted}, fmt.Sprintf("engine %s gets no new work from %s", name, strings.Join(accepted, " "))); printErr != nil {
		return printErr
	}
	if err != nil {
		fmt.Fprintf(w, "not told: %v\n", err)
		return cli.Exit("", exitProblem)
	}
	return nil
}

// drainOutput is the JSON output of the drain command.
type drainOutput struct {
	Router   string   `json:"router,omitempty"`
	Engine   string   `json:"engine,omitempty"`
	Accepted []string `json:"told,omitempty"`
}

func printDrain(cmd *cli.Command, d drainOutput, text string) error {
	w := cmd.Root().Writer
	if cmd.Bool("json") {
		return json.NewEncoder(w).Encode(d)
	}
	_, err := fmt.Fprintln(w, text)
	return err
}
