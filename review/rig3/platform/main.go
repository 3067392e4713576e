// Command rig3 plays the cases of the third review that are scripts. It starts routers and replicas as
// processes of their own, is the platform's store and the consumer itself, and judges what the consumer got.
//
// # Usage
//
//	rig3 play CASE --trouble=true --router target/peridotusher --record record.txt
//	rig3 replica ADDRESS ID
//	rig3 other ADDRESS
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxPlay ends a case that hangs.
const maxPlay = 110 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripts by name.
var cases = map[string]func(*bed, bool) (verdict, error){
	"overstay":  playOverstay,
	"partition": playPartition,
	"late-beat": playLateBeat,
	"other":     playOtherWriter,
	"freeze":    playFreezeCrash,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 3 && args[0] == "replica" {
		return runReplica(args[1], args[2])
	}
	if len(args) == 2 && args[0] == "other" {
		return runOther(args[1])
	}
	if len(args) < 2 || args[0] != "play" {
		fmt.Fprintln(os.Stderr, "usage: rig3 play CASE [flags]")
		return exitFailed
	}
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	trouble := flags.Bool("trouble", true, "with the disruption")
	router := flags.String("router", "target/peridotusher", "the router's program")
	record := flags.String("record", "record.txt", "file of what was sent, answered and run")
	if flags.Parse(args[2:]) != nil {
		return exitFailed
	}
	play, ok := cases[args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", args[1])
		return exitFailed
	}
	return playCase(play, *trouble, *router, *record)
}

// playCase plays a case and returns the exit code.
func playCase(play func(*bed, bool) (verdict, error), trouble bool, router, record string) int {
	b, err := newBed(router, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	giveUp := func(reason string) {
		b.note("given up: %s", reason)
		b.end()
		os.Exit(exitFailed)
	}
	time.AfterFunc(maxPlay, func() { giveUp("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
	v, err := play(b, trouble)
	b.end()
	if err != nil {
		b.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	b.note("verdict: broken=%v: %s", v.broken, v.text)
	fmt.Printf("broken=%v: %s\n", v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
