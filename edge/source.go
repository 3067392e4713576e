package edge

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/relay"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// Source reads what the platform's store holds.
type Source interface {
	// Document reads the newest configuration, nil if there is none yet, all evacuations of
	// zones that exist, and the position from which to wait for changes of both, with
	// revision 0 if that is unknown. If the error is routing.ErrMalformed the others
	// are as read.
	Document(ctx context.Context) (*routing.Document, replicas.EvacuationList, peridotusher.Position, error)
	// NextDocument waits for changes after a position: of the configuration, nil if that did
	// not change, and of evacuations, which may have ended. It returns the position to go on
	// from. The error is routing.ErrChangesUnavailable if the changes since the position are no
	// longer known, also because the store is in another epoch; if it is
	// routing.ErrMalformed the evacuations are as read.
	NextDocument(ctx context.Context, after peridotusher.Position, wait time.Duration) (*routing.Document, replicas.EvacuationList, peridotusher.Position, error)
	// Replicas reads a page of the list of replicas: the first one, or the one that
	// follows where the page before says.
	Replicas(ctx context.Context, after string) (replicas.Page, error)
	// Parts returns the parts of prompts that the replica at the address holds.
	Parts(ctx context.Context, address string) ([]relay.Part, error)
}
