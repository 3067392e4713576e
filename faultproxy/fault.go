package faultproxy

import "time"

// Direction is the direction of bytes through a proxy.
type Direction int

// The directions. Both is the zero value.
const (
	Both Direction = iota
	ToTarget
	FromTarget
)

// Fault describes what a proxy does to connections and their bytes.
type Fault struct {
	Delay      time.Duration // added to every chunk, in each direction
	Jitter     time.Duration // upper bound of a random delay added to every chunk
	Refuse     bool          // new connections are closed at once
	Silent     bool          // bytes are discarded and connections stay open
	Stall      bool          // bytes are held until the fault is removed
	ResetAfter int64         // connections are reset after this many bytes, zero for never
	Direction  Direction     // the direction to which Silent, Stall and ResetAfter apply
}

// appliesTo returns whether Silent, Stall and ResetAfter apply to the direction.
func (f Fault) appliesTo(d Direction) bool {
	return f.Direction == Both || f.Direction == d
}
