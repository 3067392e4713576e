package peridotusher

// Position is a point in the history of the platform's store. Revisions increase
// within an epoch. A store that is restored from a backup begins the next epoch
// at an earlier revision and issues the later revisions a second time.
type Position struct {
	Epoch, Revision int64
}

// After reports whether p comes after q.
func (p Position) After(q Position) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch > q.Epoch
	}
	return p.Revision > q.Revision
}
