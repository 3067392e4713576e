package hosts

import (
	"maps"
	"net/netip"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// Kind is what runs on a host.
type Kind string

// The kinds of hosts.
const (
	KindRouter  Kind = "router"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is whether a host is in service or about to be removed.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // the platform is about to remove the host
)

// The labels that every host has.
const (
	labelName  = "name"
	labelKind  = "kind"
	labelZone  = "zone"
	labelState = "state"
)

// Host is one host of the platform's list.
type Host struct {
	address string
	labels  map[string]string
}

// NewHost returns the host with an address such as 192.0.2.1:80 and its labels.
func NewHost(address string, labels map[string]string) (Host, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return Host{}, errors.Wrap(err, "host address")
	}
	if parsed.Port() == 0 {
		return Host{}, errors.Newf("host address %s has no port", address)
	}
	if labels[labelName] == "" {
		return Host{}, errors.Newf("host %s has no name", address)
	}
	state := State(labels[labelState])
	if state != StateLive && state != StateLeaving {
		return Host{}, errors.Newf("host %s has unknown state %q", address, state)
	}
	return Host{address, maps.Clone(labels)}, nil
}

// Name returns the host's name, which is unique in the list.
func (h Host) Name() string { return h.labels[labelName] }

// Kind returns what runs on the host.
func (h Host) Kind() Kind { return Kind(h.labels[labelKind]) }

// Zone returns the host's availability zone.
func (h Host) Zone() peridotusher.Zone { return peridotusher.Zone(h.labels[labelZone]) }

// State returns the host's state.
func (h Host) State() State { return State(h.labels[labelState]) }

// Address returns the host's IP address and port.
func (h Host) Address() string { return h.address }

// Label returns the value of a label, or an empty string if the host has none of that name.
func (h Host) Label(name string) string { return h.labels[name] }

// Labels returns a copy of all labels.
func (h Host) Labels() map[string]string { return maps.Clone(h.labels) }

// WithState returns a copy of the host with another state.
func (h Host) WithState(s State) Host {
	labels := maps.Clone(h.labels)
	labels[labelState] = string(s)
	return Host{h.address, labels}
}

// Equal reports whether both hosts have the same address and labels.
func (h Host) Equal(other Host) bool {
	return h.address == other.address && maps.Equal(h.labels, other.labels)
}
