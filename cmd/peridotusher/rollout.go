package main

import (
	"context"
	"fmt"
	"regexp"
	"strings"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/document"
)

var (
	versionsLine = regexp.MustCompile(`(?m)^[ \t]*versions[ \t]*=.*\n?`)
	previousLine = regexp.MustCompile(`(?m)^[ \t]*previous[ \t]*=.*\n?`)
)

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "start a rollout of a model's versions, or take it back",
		Description: "Without --team the key is that of the platform's operators.\n" +
			"Exit codes: 0 success, 1 failure, 2 invalid document or arguments, 3 conflict.\n" +
			"Example: peridotusher rollout --store 10.0.0.7:2379 start stylist v2:10,v1:90\n" +
			"Example: peridotusher rollout --store 10.0.0.7:2379 back stylist",
		Flags: storeFlags(),
		Commands: []*cli.Command{
			{
				Name:      "start",
				Usage:     "serve other versions and remember the present ones",
				ArgsUsage: "MODEL VERSION:SHARE,...",
				Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
					if cmd.NArg() != 2 {
						return cli.Exit("start takes a model and its versions", exitInvalid)
					}
					return editVersions(ctx, cmd, e, func(*document.Model) (string, error) { return cmd.Args().Get(1), nil })
				}),
			},
			{
				Name:      "back",
				Usage:     "serve the versions from before the last rollout",
				ArgsUsage: "MODEL",
				Action: withEditor(func(ctx context.Context, cmd *cli.Command, e *config.Editor) error {
					if cmd.NArg() != 1 {
						return cli.Exit("back takes a model", exitInvalid)
					}
					return editVersions(ctx, cmd, e, previousVersions)
				}),
			},
		},
	}
}

// previousVersions returns the model's versions before the last rollout, which the command back restores.
func previousVersions(m *document.Model) (string, error) {
	if len(m.Previous()) == 0 {
		return "", cli.Exit(fmt.Sprintf("model %s has no previous versions", m.Name()), exitInvalid)
	}
	return versionList(m.Previous()), nil
}

// editVersions replaces a model's versions with those that next returns and stores the
// present ones as its previous versions.
func editVersions(ctx context.Context, cmd *cli.Command, e *config.Editor, next func(*document.Model) (string, error)) error {
	snapshot, err := e.Load(ctx)
	if err != nil {
		return err
	}
	name := cmd.Args().First()
	model, ok := snapshot.Document().Model(name)
	if !ok {
		return cli.Exit(fmt.Sprintf("there is no section [model %s]", name), exitInvalid)
	}
	versions, err := next(model)
	if err != nil {
		return err
	}
	header := "model " + name
	text := withVersions(snapshot.Text(header), versions, versionList(model.Versions()))
	edit := config.Edit{Header: header, Text: text, Base: snapshot.Version(header)}
	return printAccepted(cmd)(e.Apply(ctx, credentials(cmd), []config.Edit{edit}))
}

// withVersions returns the text of a model's section with its versions and previous versions replaced.
func withVersions(section, versions, previous string) string {
	section = previousLine.ReplaceAllString(section, "")
	lines := "versions = " + versions + "\n"
	if previous != "" {
		lines += "previous = " + previous + "\n"
	}
	if !versionsLine.MatchString(section) {
		return strings.TrimRight(section, "\n") + "\n" + lines
	}
	return versionsLine.ReplaceAllLiteralString(section, lines)
}

// versionList formats versions in the syntax of the document.
func versionList(versions []document.Version) string {
	var parts []string
	for _, v := range versions {
		parts = append(parts, fmt.Sprintf("%s:%d", v.Name(), v.Share()))
	}
	return strings.Join(parts, ", ")
}
