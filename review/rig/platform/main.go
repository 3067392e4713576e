package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 115 * time.Second

// cases are the cases by name. Each one reports whether its rule was broken.
var cases = map[string]func(*stage) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		os.Exit(runReplicaProcess(os.Args[2:]))
	}
	os.Exit(play())
}

func play() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE [--router FILE] [--record FILE]")
		return exitCannotRun
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ContinueOnError)
	router := flags.String("router", "target/peridotusher", "router program")
	path := flags.String("record", "record.txt", "file for what was sent, answered and run")
	if flags.Parse(os.Args[2:]) != nil {
		return exitCannotRun
	}
	s, err := newStage(*router, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	time.AfterFunc(caseTimeout, func() {
		s.say("the case took too long")
		s.close()
		os.Exit(exitCannotRun)
	})
	broken, err := cases[os.Args[1]](s)
	s.close()
	if err != nil {
		s.say("could not run: %v", err)
		return exitCannotRun
	}
	if broken {
		s.say("result: the rule was broken")
		return exitBroken
	}
	s.say("result: the rule held")
	return exitHeld
}
