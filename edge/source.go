package edge

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/relay"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// Source reads the contents of the platform's store.
type Source interface {
	// Document reads the newest configuration, nil if there is none yet, all evacuations of zones,
	// and the position from which to wait for changes of both, with revision 0 if that is unknown.
	// If the error is routing.ErrMalformed, the evacuations and the position are valid.
	Document(ctx context.Context) (*routing.Document, replicas.EvacuationList, peridotusher.Position, error)
	// NextDocument waits for changes after a position. It returns the new configuration, nil if
	// that did not change, the evacuations that changed or ended, and the position from which to
	// continue. The error is routing.ErrChangesUnavailable if the changes since the position are
	// no longer known, also because the store is in another epoch. If it is
	// routing.ErrMalformed, the evacuations are valid.
	NextDocument(ctx context.Context, after peridotusher.Position, wait time.Duration) (*routing.Document, replicas.EvacuationList, peridotusher.Position, error)
	// Replicas reads a page of the list of replicas: the first one if after is empty, otherwise
	// the one after the page whose Next this is.
	Replicas(ctx context.Context, after string) (replicas.Page, error)
	// Replica reads the entry of a replica. Removed is set if there is none.
	Replica(ctx context.Context, id string) (replicas.Entry, error)
	// Parts returns the parts (shared prompt prefixes) that the replica at the address has cached.
	Parts(ctx context.Context, address string) ([]relay.Part, error)
}
