package faultproxy

import "time"

// Direction names one way through a proxy.
type Direction int

// The directions. Both is the zero value.
const (
	Both Direction = iota
	ToTarget
	FromTarget
)

// Fault says what happens to the bytes that pass a proxy.
type Fault struct {
	Delay    time.Duration // added to every chunk, in each direction
	Jitter   time.Duration // up to this much more, drawn for every chunk
	Refuse   bool          // new connections are closed at once
	Silent   bool          // bytes are swallowed and connections stay open
	Stall    bool          // bytes wait until the fault is lifted
	CutAfter int64         // connections are reset after this many bytes, zero for never
	Way      Direction     // the direction that Silent, Stall and CutAfter act on
}

// hits returns whether the fault acts on the direction.
func (f Fault) hits(d Direction) bool {
	return f.Way == Both || f.Way == d
}
