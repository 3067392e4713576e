// Command fleet runs the cases of the review against router processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
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

// runCase runs the case that the first argument names. It writes record.txt into the folder that the
// second one names.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE FOLDER")
		return cannotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "fleet")
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
