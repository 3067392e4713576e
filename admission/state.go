package admission

// Bypassed is the state of a request for which its router chooses the replica itself, since no
// coordinator decided. It is never sent between routers.
const Bypassed State = Waiting + 1

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	switch s {
	case Refused:
		return "refused"
	case Granted:
		return "granted"
	case Waiting:
		return "waiting"
	case Bypassed:
		return "bypassed"
	}
	return "unknown"
}

// Log records events of the coordinator. It must not block.
type Log interface {
	// Event logs an event of the kind with fields as name, value pairs.
	Event(kind string, fields ...any)
}
