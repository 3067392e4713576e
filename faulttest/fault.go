package faulttest

import "slices"

// Tolerance says what a fault excuses while it lasts and shortly after.
type Tolerance int

// The tolerances, each of which includes the ones before it.
const (
	Whole Tolerance = iota // every answer is whole
	Told                   // an answer may fail with a verdict from a router
	Cut                    // the router that serves a caller may vanish
)

// Fault is one kind of fault. Begin and End are called in the order of the
// schedule by one goroutine.
type Fault struct {
	Name  string
	Chats Tolerance // requests to models
	Calls Tolerance // calls to services
	Stale bool      // routers may be without new configuration while it lasts
	Begin func(*Episode) error
	End   func(*Episode) error // nil when the fault ends by itself
}

// Faults returns every kind of fault, by name.
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

// Named returns the faults of the given names, in their order.
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
