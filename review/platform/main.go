// Command platform runs a case of the review: a small fleet of the project's routers as separate processes
// between stand-ins for the platform, the replicas and the consumers.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps the name of a case to its run; each file of a case adds its own. broken tells what was
// seen if the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken string, err error){}

// limit bounds a run.
const limit = 110 * time.Second

func main() {
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(limit, func() {
		rec.add("the case takes too long")
		killAll()
		os.Exit(2)
	})
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	broken, err := run(rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.add("the rule held")
	fmt.Println("held")
}
