package mesh

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

// SyncRequest is a request for the state that the sender lacks.
type SyncRequest struct {
	// Version is the version of the sender's configuration. A later one is requested.
	Version int64
	// Replicas are the digests of the sections of the sender's table of replicas. The entries
	// of sections that differ are requested, none if it is empty.
	Replicas []uint64
	// Placements requests a snapshot of the placements.
	Placements bool
	// Format is the sender's message format.
	Format int
}

// The field numbers of a SyncRequest on the wire.
const (
	requestVersion protowire.Number = iota + 1
	requestReplicas
	requestPlacements
	requestFormat
)

func (r *SyncRequest) marshal() []byte {
	out := appendNumber(nil, requestFormat, uint64(r.Format))
	out = appendNumber(out, requestVersion, uint64(r.Version))
	var packed []byte
	for _, d := range r.Replicas {
		packed = protowire.AppendFixed64(packed, d)
	}
	out = appendBytes(out, requestReplicas, packed)
	return appendFlag(out, requestPlacements, r.Placements)
}

func (r *SyncRequest) unmarshal(data []byte) error {
	return eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case requestVersion:
			r.Version = int64(v)
		case requestReplicas:
			for len(raw) > 0 {
				d, size := protowire.ConsumeFixed64(raw)
				if size < 0 {
					return protowire.ParseError(size)
				}
				r.Replicas = append(r.Replicas, d)
				raw = raw[size:]
			}
		case requestPlacements:
			r.Placements = v != 0
		case requestFormat:
			r.Format = int(v)
		}
		return nil
	})
}

// SyncResponse is the state that a router returns for a SyncRequest.
type SyncResponse struct {
	// Configuration is the source of the configuration in force, nil if none.
	Configuration []byte
	// Version is the version of that configuration.
	Version int64
	// Store is the epoch of the platform's store and the first revision of that epoch that
	// any router read.
	Store   peridotusher.Position
	Entries []replicas.Entry
	// Complete is whether the requester has the complete list of replicas once it has applied
	// Entries.
	Complete bool
	// Evacuations are the evacuations of zones that are in force or ended recently.
	Evacuations []replicas.Evacuation
	// Limits are request rates that replicas have stated, and ends of such limits.
	Limits []ratelimit.Statement
	// Placements are the placements that the responding router knows.
	Placements placing.Snapshot
	// Settled is whether Placements includes those made before the responding router started.
	Settled bool
	// ReadAge is the age of the newest list of replicas from the store, OutageAge the
	// time since the last outage of the store ended.
	ReadAge, OutageAge time.Duration
	// Format is the message format of the router that responds.
	Format int
}

// hasState reports whether the response holds a configuration or replicas.
func (r *SyncResponse) hasState() bool { return r.Version > 0 || len(r.Entries) > 0 }

// The field numbers of a SyncResponse on the wire.
const (
	responseConfiguration protowire.Number = iota + 1
	responseVersion
	responseEntry
	responsePlacements
	responseVersions
	responseSettled
	responseReadAge
	responseOutageAge
	responseFormat
	responseEpoch
	responseBase
	responseEvacuation
	responseComplete
	responseLimit
)

// The field numbers of a placing.Version on the wire.
const (
	versionName protowire.Number = iota + 1
	versionIncarnation
	versionSequence
)

// marshal encodes the response; p compresses the configuration.
func (r *SyncResponse) marshal(cache *compressionCache) ([]byte, error) {
	compressed, err := cache.compress(r.Version, r.Configuration)
	if err != nil {
		return nil, err
	}
	out := appendNumber(nil, responseFormat, uint64(r.Format))
	out = appendBytes(out, responseConfiguration, compressed)
	out = appendNumber(out, responseVersion, uint64(r.Version))
	out = appendNumber(out, responseEpoch, uint64(r.Store.Epoch))
	out = appendNumber(out, responseBase, uint64(r.Store.Revision))
	for _, e := range r.Entries {
		out = appendBytes(out, responseEntry, marshalEntry(e))
	}
	for _, e := range r.Evacuations {
		out = appendBytes(out, responseEvacuation, marshalEvacuation(e))
	}
	out = appendLimits(out, responseLimit, r.Limits)
	out = appendBytes(out, responsePlacements, packPlacements(r.Placements.Placements))
	for _, version := range r.Placements.Versions {
		out = appendBytes(out, responseVersions, marshalVersion(version))
	}
	out = appendNumber(out, responseReadAge, uint64(r.ReadAge.Milliseconds()))
	out = appendNumber(out, responseOutageAge, uint64(r.OutageAge.Milliseconds()))
	out = appendFlag(out, responseComplete, r.Complete)
	return appendFlag(out, responseSettled, r.Settled), nil
}

func (r *SyncResponse) unmarshal(data []byte) error {
	return eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case responseFormat:
			r.Format = int(v)
		case responseConfiguration:
			text, err := decompress(raw)
			r.Configuration = text
			return err
		case responseVersion:
			r.Version = int64(v)
		case responseEpoch:
			r.Store.Epoch = int64(v)
		case responseBase:
			r.Store.Revision = int64(v)
		case responseEntry:
			e, err := unmarshalEntry(raw)
			r.Entries = append(r.Entries, e)
			return err
		case responseEvacuation:
			e, err := unmarshalEvacuation(raw)
			r.Evacuations = append(r.Evacuations, e)
			return err
		case responseLimit:
			s, err := unmarshalLimit(raw)
			r.Limits = append(r.Limits, s)
			return err
		case responsePlacements:
			placements, err := unpackPlacements(raw)
			r.Placements.Placements = placements
			return err
		case responseVersions:
			version, err := unmarshalVersion(raw)
			r.Placements.Versions = append(r.Placements.Versions, version)
			return err
		case responseComplete:
			r.Complete = v != 0
		case responseSettled:
			r.Settled = v != 0
		case responseReadAge:
			r.ReadAge = time.Duration(v) * time.Millisecond
		case responseOutageAge:
			r.OutageAge = time.Duration(v) * time.Millisecond
		}
		return nil
	})
}

func marshalVersion(version placing.Version) []byte {
	out := appendBytes(nil, versionName, []byte(version.Name))
	out = appendNumber(out, versionIncarnation, uint64(version.Incarnation))
	return appendNumber(out, versionSequence, version.Sequence)
}

func unmarshalVersion(data []byte) (placing.Version, error) {
	var version placing.Version
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case versionName:
			version.Name = string(raw)
		case versionIncarnation:
			version.Incarnation = int64(v)
		case versionSequence:
			version.Sequence = v
		}
		return nil
	})
	return version, err
}
