package edge

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// Source reads what the platform's store holds.
type Source interface {
	// Document reads the newest configuration, nil if there is none yet, and the
	// revision from which to wait for the next one.
	Document(ctx context.Context) (*routing.Document, int64, error)
	// NextDocument waits for a configuration newer than a revision and returns
	// nil and the revision to go on from if there was none. The error is
	// routing.ErrForgotten if the changes since the revision are no longer known.
	NextDocument(ctx context.Context, after int64, wait time.Duration) (*routing.Document, int64, error)
	// Replicas reads a page of the list of replicas: the first one, or the one that
	// follows where the page before says.
	Replicas(ctx context.Context, after string) (replicas.Page, error)
	// Parts returns the parts of prompts that the replica at the address holds.
	Parts(ctx context.Context, address string) ([]uint64, error)
}
