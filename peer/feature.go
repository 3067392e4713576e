package peer

// The protocol versions of this program.
const (
	protocolVersion = 3
	// versionsApart is the largest distance of two versions that work together.
	versionsApart = 1
)

// span is a range of versions: since is the first, until the first without.
// An until of zero has not come yet.
type span struct {
	since, until uint32
}

// holds reports whether the version is in the span.
func (s span) holds(version uint32) bool {
	return s.since <= version && (s.until == 0 || version < s.until)
}

// feature is a part of the protocol. Versions in served answer it, and
// versions in used need a peer that does.
type feature struct {
	name         string
	served, used span
}

// packing is the sending of repeated fields by number. Version 3 still sends
// whole messages to peers that do not serve it.
var packing = feature{name: "packing", served: span{since: 3}, used: span{since: 4}}

// packs reports whether messages to a peer of the version are packed.
func (n *Node) packs(version uint32) bool {
	return packing.served.holds(n.version) && packing.served.holds(version)
}

// features are the parts of the protocol since its first version. A feature
// is taken away in two steps: first its use ends, a version later its service.
var features = []feature{
	{name: "heartbeat", served: span{since: 1}, used: span{since: 1}},
	{name: "permit", served: span{since: 1}, used: span{since: 1}},
	{name: "leaving", served: span{since: 1}, used: span{since: 1}},
	{name: "delta", served: span{since: 1}, used: span{since: 2}},
	{name: "fetch", served: span{since: 1}, used: span{since: 2}},
	packing,
}

// serves reports whether a peer of the version server has all that one of the
// version user needs.
func serves(list []feature, server, user uint32) bool {
	for _, f := range list {
		if f.used.holds(user) && !f.served.holds(server) {
			return false
		}
	}
	return true
}

// compatible reports whether both versions serve each other.
func compatible(list []feature, a, b uint32) bool {
	return serves(list, a, b) && serves(list, b, a)
}

// oldestPeer returns the oldest version that a router of the version accepts:
// every version from there on is compatible, and none is too far apart.
func oldestPeer(list []feature, version uint32) uint32 {
	oldest := version
	for oldest > 1 && version-(oldest-1) <= versionsApart && compatible(list, version, oldest-1) {
		oldest--
	}
	return oldest
}
