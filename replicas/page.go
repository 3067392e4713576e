package replicas

import "peridotusher.example/peridotusher"

// Page is one page of the list of replicas, or the complete list.
type Page struct {
	Entries []Entry
	// MalformedKeys holds the keys of entries that could not be decoded into a usable replica.
	MalformedKeys []string
	// At is the store's position when the page was read.
	At peridotusher.Position
	// Next is the token of the next page; "" if there is none.
	Next string
}
