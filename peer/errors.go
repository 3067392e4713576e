package peer

import (
	"fmt"

	"peridotusher.example/peridotusher"
)

// ConnectionError means that a router could not be reached, or that the connection
// to it was lost during a call. The router may be in the same zone or in another.
type ConnectionError struct {
	router peridotusher.RouterID
	sent   bool
	err    error
}

// Router returns the router that was called.
func (e *ConnectionError) Router() peridotusher.RouterID { return e.router }

// Sent reports whether the message may have reached the router.
func (e *ConnectionError) Sent() bool { return e.sent }

// Error implements error.
func (e *ConnectionError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("no session with router %s", e.router)
	}
	return fmt.Sprintf("no session with router %s: %v", e.router, e.err)
}

// Unwrap returns the error that ended the session or its last dial.
func (e *ConnectionError) Unwrap() error { return e.err }

// RemoteError is the error that a router's handler returned.
type RemoteError struct {
	router  peridotusher.RouterID
	kind    Kind
	message string
}

// Router returns the router that was called.
func (e *RemoteError) Router() peridotusher.RouterID { return e.router }

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("router %s refused message of kind %d: %s", e.router, e.kind, e.message)
}

// Side names one of the two routers of a connection.
type Side string

// The sides of a connection.
const (
	SideSelf Side = "this router"
	SidePeer Side = "the peer"
)

// VersionError means that two routers speak incompatible protocol versions. Its oldest versions are
// the oldest that a router accepts.
type VersionError struct {
	peer                    peridotusher.RouterID
	selfVersion, selfOldest uint32
	peerVersion, peerOldest uint32
}

// OutdatedSide returns the side that must be upgraded before a session is possible.
func (e *VersionError) OutdatedSide() Side {
	if e.selfVersion < e.peerOldest {
		return SideSelf
	}
	return SidePeer
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s must be upgraded: this router speaks version %d and accepts %d or later, router %s speaks %d and accepts %d or later",
		e.OutdatedSide(), e.selfVersion, e.selfOldest, e.peer, e.peerVersion, e.peerOldest)
}
