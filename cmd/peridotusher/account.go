package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/account"
)

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:  "account",
		Usage: "count from logs which requests were lost, and to what",
		Description: "Reads logs of routers, from FILES or standard input.\n" +
			"Example: peridotusher account --by zone edge-1.log edge-2.log\n" +
			"Exit codes: 0 done, 1 a log cannot be read, 5 no log has a request.",
		ArgsUsage: "[FILES]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "by", Value: string(account.ByRoute), Usage: "what requests are told apart by: `route`, zone, replica or second",
				Validator: validateGroupBy},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			lines, err := readLogs(cmd.Args().Slice(), os.Stdin)
			if err != nil {
				return err
			}
			requests := account.Requests(lines)
			if len(requests) == 0 {
				return cli.Exit("no log has a request", exitUnknown)
			}
			rows, losses := account.Tally(requests, account.GroupBy(cmd.String("by"))), account.Losses(requests)
			out := cmd.Root().Writer
			if cmd.Bool("json") {
				return errors.Wrap(json.NewEncoder(out).Encode(map[string]any{"rows": rows, "losses": losses}), "write the account")
			}
			return printAccount(out, cmd.String("by"), rows, losses)
		},
	}
}

func validateGroupBy(by string) error {
	switch account.GroupBy(by) {
	case account.ByRoute, account.ByZone, account.ByReplica, account.BySecond:
		return nil
	}
	return errors.Newf("%q is none of route, zone, replica, second", by)
}

// printAccount prints the fraction of each outcome in each row, then the causes of lost requests.
func printAccount(w io.Writer, by string, rows []account.Row, losses []account.Loss) error {
	outcomes := []account.Outcome{account.InTime, account.LateStart, account.LatePause, account.Refused, account.Denied, account.Failed, account.Truncated, account.Disconnected}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := by + "\trequests"
	for _, o := range outcomes {
		header += "\t" + string(o)
	}
	fmt.Fprintln(t, header)
	for _, row := range rows {
		var fractions strings.Builder
		for _, o := range outcomes {
			fmt.Fprintf(&fractions, "\t%.4f", row.Share(o))
		}
		fmt.Fprintf(t, "%s\t%d%s\n", row.Key, row.Requests, fractions.String())
	}
	fmt.Fprintln(t, "\nlost\trequests\tto")
	for _, l := range losses {
		fmt.Fprintf(t, "%s\t%d\t%s\n", l.Outcome, l.Requests, l.Cause)
	}
	return errors.Wrap(t.Flush(), "write the account")
}
