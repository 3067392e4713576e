package faulttest

import "slices"

// Tolerance is the kind of failed answers that a fault excuses while it lasts and
// during the recovery.
type Tolerance int

// The tolerances, each of which includes the ones before it.
const (
	NoFailure       Tolerance = iota // every answer is complete
	ReportedFailure                  // an answer may fail with a verdict from a router
	AnyFailure                       // an answer may also end without a verdict, because its router disappeared
)

// Fault is one kind of fault. Begin and End are called in the order of the
// schedule by one goroutine.
type Fault struct {
	Name               string
	ChatTolerance      Tolerance // for requests to models
	CallTolerance      Tolerance // for calls to services
	StaleConfiguration bool      // routers may miss new configuration while the fault lasts
	Begin              func(*Episode) error
	End                func(*Episode) error // nil if the fault ends by itself
}

// Faults returns every kind of fault, sorted by name.
func Faults() []Fault {
	all := slices.Concat(engineFaults(), platformFaults(), linkFaults(), routerFaults())
	slices.SortFunc(all, func(a, b Fault) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Named returns the faults with the given names, in the order of the names.
func Named(names ...string) []Fault {
	var named []Fault
	for _, name := range names {
		for _, f := range Faults() {
			if f.Name == name {
				named = append(named, f)
			}
		}
	}
	return named
}
