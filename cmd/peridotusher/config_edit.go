package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/config"
)

func configEditCommand() *cli.Command {
	return &cli.Command{
		Name:      "edit",
		Usage:     "replace one section by the text of a file",
		ArgsUsage: "SECTION FILE",
		Description: "FILE is - for the standard input. An empty text removes the section.\n" +
			"--base is the version that was edited, as get --json shows it; without it the present one.\n" +
			"Example: peridotusher config --store 10.0.0.7:2379 --team athina edit 'organisation shop-athina' shop.ini",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` of the section that was edited"},
			&cli.StringFlag{Name: "after", Usage: "`SECTION` that a new section follows"},
		},
		Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
			if cmd.NArg() != 2 {
				return cli.Exit("edit takes a section and a file", exitInvalid)
			}
			text, err := readInput(cmd, cmd.Args().Get(1))
			if err != nil {
				return err
			}
			edit := config.Edit{Header: cmd.Args().First(), Text: string(text), Base: cmd.Uint64("base"), After: cmd.String("after")}
			if !cmd.IsSet("base") {
				snap, err := e.Load(ctx)
				if err != nil {
					return err
				}
				edit.Base = snap.Version(edit.Header)
			}
			return printAccepted(cmd)(e.Apply(ctx, credentials(cmd), []config.Edit{edit}))
		}),
	}
}

func configApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "make the edits of a file that get printed",
		ArgsUsage: "FILE",
		Description: "The first line that get printed says which revision was edited, so that edits of others are not lost.\n" +
			"Sections that the file does not have are kept, unless --remove names them.\n" +
			"--all replaces the whole document as the platform's operators; the first one sets their key.\n" +
			"Example: peridotusher config --store 10.0.0.7:2379 --team athina apply mine.ini",
		Flags: []cli.Flag{
			removeFlag(),
			&cli.BoolFlag{Name: "all", Usage: "replace the whole document"},
			&cli.Uint64Flag{Name: "above", Usage: "with --all, take a revision above `REVISION`, after the store was set back"},
		},
		Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
			text, err := fileArgument(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("all") {
				return printAccepted(cmd)(e.Replace(ctx, cmd.String("key"), text, cmd.Uint64("above")))
			}
			edits, err := fileEdits(ctx, cmd, e, text)
			if err != nil {
				return err
			}
			return printAccepted(cmd)(e.Apply(ctx, credentials(cmd), edits))
		}),
	}
}

// removeFlag returns the flag that names the sections to remove.
func removeFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "remove", Usage: "`SECTION` to remove, may be repeated"}
}

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what apply would change",
		ArgsUsage:   "FILE",
		Description: "Example: peridotusher config --store 10.0.0.7:2379 --team athina diff mine.ini",
		Flags:       []cli.Flag{removeFlag()},
		Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
			edits, err := argumentEdits(ctx, cmd, e)
			if err != nil {
				return err
			}
			snap, err := e.Load(ctx)
			if err != nil {
				return err
			}
			for _, edit := range edits {
				printDifference(cmd, snap, edit)
			}
			return nil
		}),
	}
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check the edits of a file against the whole document without making them",
		ArgsUsage:   "FILE",
		Description: "Example: peridotusher config --store 10.0.0.7:2379 --team athina check mine.ini",
		Flags:       []cli.Flag{removeFlag()},
		Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
			edits, err := argumentEdits(ctx, cmd, e)
			if err != nil {
				return err
			}
			if err := e.Check(ctx, credentials(cmd), edits); err != nil {
				return err
			}
			fmt.Fprintln(cmd.Root().Writer, "ok")
			return nil
		}),
	}
}

// fileArgument reads the file that is the command's only argument.
func fileArgument(cmd *cli.Command) ([]byte, error) {
	if cmd.NArg() != 1 {
		return nil, cli.Exit(cmd.Name+" takes one file", exitInvalid)
	}
	return readInput(cmd, cmd.Args().First())
}

// fileEdits returns the edits from a file's text and the flag remove. Their base is the revision
// in the text's first line, the present one if it names none.
func fileEdits(ctx context.Context, cmd *cli.Command, e *config.Editor, text []byte) ([]config.Edit, error) {
	snap, err := e.Load(ctx)
	if err != nil {
		return nil, err
	}
	base, text := splitBaseLine(text)
	if base == 0 {
		base = snap.Revision()
	}
	edits, err := snap.Edits(cmd.Args().First(), text, base)
	for _, header := range cmd.StringSlice("remove") {
		edits = append(edits, config.Edit{Header: header, Base: snap.BaseVersion(header, base)})
	}
	return edits, err
}

// printAccepted returns a function that prints the result of an edit, or returns its error.
func printAccepted(cmd *cli.Command) func(config.Accepted, error) error {
	return func(done config.Accepted, err error) error {
		switch {
		case err != nil:
			return err
		case cmd.Bool("json"):
			return printJSON(cmd, done)
		case len(done.Headers) == 0:
			fmt.Fprintf(cmd.Root().Writer, "nothing to change at revision %d\n", done.Revision)
		default:
			fmt.Fprintf(cmd.Root().Writer, "accepted at revision %d: %s\n", done.Revision, strings.Join(done.Headers, ", "))
		}
		return nil
	}
}

// argumentEdits returns the edits from the command's file and the flag remove.
func argumentEdits(ctx context.Context, cmd *cli.Command, e *config.Editor) ([]config.Edit, error) {
	text, err := fileArgument(cmd)
	if err != nil {
		return nil, err
	}
	return fileEdits(ctx, cmd, e, text)
}
