package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/config"
)

// sectionOutput is the JSON form of one section.
type sectionOutput struct {
	Header  string `json:"header"`
	Version uint64 `json:"version"`
	Owner   string `json:"owner"`
	Team    string `json:"team"` // team of the last edit
	Text    string `json:"text"`
}

// documentOutput is the JSON form of all or some sections of a document.
type documentOutput struct {
	Revision uint64          `json:"revision"`
	Sections []sectionOutput `json:"sections"`
}

func configGetCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print the document, a team's sections or the named ones",
		ArgsUsage:   "[SECTION ...]",
		Description: "With --team only the sections that the team owns are printed.\nExample: peridotusher config --store 10.0.0.7:2379 --team athina get > mine.ini",
		Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
			snap, err := e.Load(ctx)
			if err != nil {
				return err
			}
			out := documentOutput{Revision: snap.Revision()}
			for _, header := range snap.Headers() {
				owner, _ := snap.Document().OwnerOf(header)
				if isSelected(cmd, header, owner) {
					out.Sections = append(out.Sections, sectionOutput{header, snap.Version(header), owner, snap.Team(header), snap.Text(header)})
				}
			}
			if len(out.Sections) < cmd.NArg() {
				return cli.Exit("a named section is not in the document", exitInvalid)
			}
			if cmd.Bool("json") {
				return printJSON(cmd, out)
			}
			fmt.Fprint(cmd.Root().Writer, baseLine(out.Revision))
			for _, s := range out.Sections {
				fmt.Fprint(cmd.Root().Writer, s.Text)
			}
			return nil
		}),
	}
}

// isSelected reports whether to print a section: if sections are named, whether it is one of them, else
// whether the team owns it. Without a team, every section is printed.
func isSelected(cmd *cli.Command, header, owner string) bool {
	if cmd.NArg() == 0 {
		return cmd.String("team") == "" || owner == cmd.String("team")
	}
	for _, name := range cmd.Args().Slice() {
		if name == header {
			return true
		}
	}
	return false
}

func configLogCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "print the latest accepted edits",
		Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
			log, err := e.Log(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return printJSON(cmd, log)
			}
			for _, entry := range log {
				team := entry.Team
				if team == "" {
					team = "(operators)"
				}
				fmt.Fprintf(cmd.Root().Writer, "%d %s %s %d sections: %s\n",
					entry.Revision, entry.Time.Format(time.RFC3339), team, entry.Count, strings.Join(entry.Headers, ", "))
			}
			return nil
		}),
	}
}

// printJSON prints a value as indented JSON.
func printJSON(cmd *cli.Command, v any) error {
	encoder := json.NewEncoder(cmd.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
