package peer

// The protocol versions of this program.
const (
	protocolVersion = 3
	// maxVersionDistance is the largest difference of two versions that work together.
	maxVersionDistance = 1
)

// versionRange is a half-open range of versions: since is the first inside it,
// until the first after it. An until of zero leaves the range open.
type versionRange struct {
	since, until uint32
}

// contains reports whether the version is in the range.
func (s versionRange) contains(version uint32) bool {
	return s.since <= version && (s.until == 0 || version < s.until)
}

// feature is a part of the protocol. Versions in served can handle it, and
// versions in used require a peer that can.
type feature struct {
	name         string
	served, used versionRange
}

// fieldPacking replaces fields that were sent before by a number. Version 3
// still sends unpacked messages to peers that do not serve it.
var fieldPacking = feature{name: "packing", served: versionRange{since: 3}, used: versionRange{since: 4}}

// packsFieldsFor reports whether messages to a peer of the version have their
// fields packed.
func (n *Node) packsFieldsFor(version uint32) bool {
	return fieldPacking.served.contains(n.version) && fieldPacking.served.contains(version)
}

// features lists the parts of the protocol since its first version. A feature
// is removed in two steps: its use ends first, its service one version later.
var features = []feature{
	{name: "heartbeat", served: versionRange{since: 1}, used: versionRange{since: 1}},
	{name: "permit", served: versionRange{since: 1}, used: versionRange{since: 1}},
	{name: "leaving", served: versionRange{since: 1}, used: versionRange{since: 1}},
	{name: "delta", served: versionRange{since: 1}, used: versionRange{since: 2}},
	{name: "fetch", served: versionRange{since: 1}, used: versionRange{since: 2}},
	fieldPacking,
}

// supports reports whether version server serves every feature that version
// user requires.
func supports(list []feature, server, user uint32) bool {
	for _, f := range list {
		if f.used.contains(user) && !f.served.contains(server) {
			return false
		}
	}
	return true
}

// compatible reports whether each version serves what the other requires.
func compatible(list []feature, a, b uint32) bool {
	return supports(list, a, b) && supports(list, b, a)
}

// oldestPeer returns the oldest version that a router of the version accepts.
// Every version from there up to its own is compatible, and none differs by more
// than maxVersionDistance.
func oldestPeer(list []feature, version uint32) uint32 {
	oldest := version
	for oldest > 1 && version-(oldest-1) <= maxVersionDistance && compatible(list, version, oldest-1) {
		oldest--
	}
	return oldest
}
