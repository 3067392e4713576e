// Command ends plays the cases of the second review in which a replica ends in the middle of answers. It runs router
// processes, started with the command of the deploy file, between stand-ins for the platform's store, replicas and
// clients, each replica a process of its own. Everything listens on loopback addresses.
//
// # Usage
//
//	ends CASE record.txt
//
// writes what was sent, answered and run to the file and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not
// run. With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"down-exit":    downExit,
	"drain-crash":  drainCrash,
	"freeze-crash": freezeCrash,
	"error-crash":  errorCrash,
	"crash":        crash,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		if err := runReplica(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(cannotRun)
		}
		return
	}
	os.Exit(runCase())
}

// runCase runs the case that the first argument names. It writes the record to the file that the second one
// names.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: ends CASE RECORD")
		return cannotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec := &record{began: time.Now(), out: file}
	f, err := newFleet(dir, rec)
	if err != nil {
		rec.add("cannot run: %v", err)
		return cannotRun
	}
	defer f.close()
	time.AfterFunc(caseTimeout, func() {
		rec.add("cannot run: the case took too long")
		f.close()
		os.Exit(cannotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	bad, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		rec.add("cannot run: %v", err)
		return cannotRun
	case bad:
		rec.add("the rule was broken")
		return broken
	}
	rec.add("the rule held")
	return held
}
