package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/store"
)

// planHistory is how long the engines are assumed to have been in the state given, which is
// longer than the waits of a rollout, since the command has no history of them.
const planHistory = 24 * time.Hour

func planCommand() *cli.Command {
	return &cli.Command{
		Name:  "plan",
		Usage: "print the next orders to the engines, and why",
		Description: "Gives no order. The document comes from a FILE or from the store, the state of the engines\n" +
			"from a file as --state, or from the engines in the platform's host list.\n" +
			"The waits of a rollout are taken as over, and no version as paused by its health.\n" +
			"Example: peridotusher plan --document kalimera.ini --state engines.json --zone a\n" +
			"Example: peridotusher plan --store 10.0.0.7:2379 --hosts http://10.0.0.8/hosts --zone a",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Usage: "configuration document `FILE`"},
			&cli.StringSliceFlag{Name: "store", Usage: "`ADDRESS` of the key-value service, may be repeated"},
			&cli.StringFlag{Name: "prefix", Usage: "`PREFIX` of the keys in the store", Value: "peridotusher"},
			&cli.StringFlag{Name: "state", Usage: "JSON `FILE` with the state of the engines"},
			&cli.StringFlag{Name: "hosts", Usage: "`URL` of the platform's host list"},
			&cli.StringFlag{Name: "zone", Usage: "`ZONE` to plan for; all zones if empty"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			doc, err := planDocument(ctx, cmd)
			if err != nil {
				return err
			}
			engines, err := planEngines(ctx, cmd)
			if err != nil {
				return err
			}
			printPlans(cmd.Root().Writer, doc, engines, peridotusher.Zone(cmd.String("zone")))
			return nil
		},
	}
}

// planDocument reads the document from a file or the store, as the flags say.
func planDocument(ctx context.Context, cmd *cli.Command) (*document.Document, error) {
	if path := cmd.String("document"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, cli.Exit(err, exitFailure)
		}
		doc, problems := document.Parse(path, text)
		if err := printProblems(cmd, problems); err != nil {
			return nil, err
		}
		return doc, nil
	}
	if len(cmd.StringSlice("store")) == 0 {
		return nil, cli.Exit("plan needs --document or --store", exitInvalid)
	}
	client, closeClient, err := store.New(store.Config{Addresses: cmd.StringSlice("store")})
	if err != nil {
		return nil, cli.Exit(err, exitInvalid)
	}
	defer closeClient()
	e := &config.Editor{Store: client, Prefix: cmd.String("prefix") + "/", Clock: peridotusher.ClockFunc(time.Now)}
	snapshot, err := e.Load(ctx)
	if err != nil {
		return nil, withConfigExitCode(err)
	}
	return snapshot.Document(), nil
}

// planEngines reads the state of the engines from a file, or queries the engines for it.
func planEngines(ctx context.Context, cmd *cli.Command) ([]peridotusher.PlannedEngine, error) {
	if path := cmd.String("state"); path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, cli.Exit(err, exitFailure)
		}
		defer f.Close()
		return readEngines(f)
	}
	if cmd.String("hosts") == "" {
		return nil, cli.Exit("plan needs --state or --hosts", exitInvalid)
	}
	return queryEngines(ctx, cmd.String("hosts"))
}

// stateEngine is one engine in a state file.
type stateEngine struct {
	Name     string         `json:"name"`
	Zone     string         `json:"zone"`
	State    string         `json:"state"` // live, leaving or ejected; live if empty
	Work     int            `json:"work"`
	Role     string         `json:"role"`
	Adapters []string       `json:"adapters"`
	Versions []stateVersion `json:"versions"`
}

// stateVersion is a loaded version of a model on an engine in a state file. Running is nil if
// the number of running requests is unknown.
type stateVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Running *int   `json:"running"`
}

func readEngines(r io.Reader) ([]peridotusher.PlannedEngine, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var engines []stateEngine
	if err := decoder.Decode(&engines); err != nil {
		return nil, cli.Exit(errors.Wrap(err, "state of the engines"), exitInvalid)
	}
	var planned []peridotusher.PlannedEngine
	for _, e := range engines {
		state, ok := engineStates[e.State]
		if !ok {
			return nil, cli.Exit(fmt.Sprintf("state of %s: %q; allowed: live, leaving, ejected", e.Name, e.State), exitInvalid)
		}
		planned = append(planned, e.planned(state))
	}
	return planned, nil
}

var engineStates = map[string]peridotusher.EngineState{
	"":        peridotusher.EngineLive,
	"live":    peridotusher.EngineLive,
	"leaving": peridotusher.EngineLeaving,
	"ejected": peridotusher.EngineEjected,
}

func (e stateEngine) planned(state peridotusher.EngineState) peridotusher.PlannedEngine {
	p := peridotusher.PlannedEngine{
		ID:         peridotusher.EngineID(e.Name),
		Zone:       peridotusher.Zone(e.Zone),
		State:      state,
		StateKnown: true,
		Work:       e.Work,
		Role:       e.Role,
		Adapters:   e.Adapters,
	}
	for _, v := range e.Versions {
		held := peridotusher.HeldVersion{Model: v.Model, Version: v.Version, Ready: v.Ready}
		if v.Running != nil {
			held.Counted, held.Running = true, *v.Running
		}
		p.Versions = append(p.Versions, held)
	}
	return p
}
