package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/eventlog"
)

// explainRequest prints the events of a request from the logs of routers.
func explainRequest(cmd *cli.Command) error {
	lines, err := readLogs(cmd.Args().Slice(), os.Stdin)
	if err != nil {
		return err
	}
	timeline := eventlog.RequestTimeline(lines, cmd.String("id"))
	if len(timeline) == 0 {
		return cli.Exit("no log names request "+cmd.String("id"), exitUnknown)
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		return errors.Wrap(json.NewEncoder(out).Encode(timeline), "write the timeline")
	}
	return printTimeline(out, timeline)
}

// readLogs reads the log files, or the input if no paths are given. A file's name without its
// extension names the process.
func readLogs(paths []string, input io.Reader) ([]eventlog.Line, error) {
	if len(paths) == 0 {
		return eventlog.Read(input, "-")
	}
	var lines []eventlog.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open a log")
		}
		more, err := eventlog.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
		if err := errors.CombineErrors(err, file.Close()); err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// printTimeline prints a line for each event, with the time since the first one.
func printTimeline(w io.Writer, timeline []eventlog.Line) error {
	for _, l := range timeline {
		var fields []string
		for name, value := range l.Fields {
			if strings.ContainsAny(value, " \"") {
				value = fmt.Sprintf("%q", value)
			}
			fields = append(fields, name+"="+value)
		}
		slices.Sort(fields)
		since := l.Time.Sub(timeline[0].Time).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%10s %-18s %-13s %s\n", "+"+since.String(), l.Process, l.Kind, strings.Join(fields, " ")); err != nil {
			return errors.Wrap(err, "write the timeline")
		}
	}
	return nil
}
