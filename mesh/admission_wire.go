package mesh

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/admission"
)

const (
	// maxNameLength bounds the length of the names of services, organisations, zones and
	// routers in messages, in bytes, maxExcluded the number of replicas that a request
	// excludes.
	maxNameLength = 255
	maxExcluded   = 32
	// maxDuration bounds the durations in messages, maxNumber the other numbers.
	maxDuration = time.Hour
	maxNumber   = 1 << 20
	// usagePaceScale is the number on the wire for a pace (the slowdown factor of a replica)
	// of 1.
	usagePaceScale = 100
)

var (
	errInvalidName     = errors.New("admission message with a missing or overlong name")
	errTooManyExcluded = errors.New("admission request excludes too many replicas")
	errUnknownState    = errors.New("admission reply with an unknown state")
)

// The field numbers of an admission request.
const (
	admissionID protowire.Number = iota + 1
	admissionRouter
	admissionIncarnation
	admissionService
	admissionOrganisation
	admissionZone
	admissionPriority
	admissionTimeLeft
	admissionDeadline
	admissionFingerprint
	admissionExclude
)

// The field numbers of a reply to an admission request.
const (
	replyID protowire.Number = iota + 1
	replyIncarnation
	replyState
	replyReplica
	replyRetryAfter
)

// The field numbers of a release or cancellation of an admission request.
const (
	endedID protowire.Number = iota + 1
	endedRouter
	endedIncarnation
	endedService
	endedReplica
	endedRunning
	endedWaiting
	endedSlots
	endedPace
	endedDuration
	endedFailed
	endedShed
)

func marshalRequest(r admission.Request) []byte {
	out := appendNumber(nil, admissionID, r.ID)
	out = appendBytes(out, admissionRouter, []byte(r.Router))
	out = appendNumber(out, admissionIncarnation, uint64(r.Incarnation))
	out = appendBytes(out, admissionService, []byte(r.Service))
	out = appendBytes(out, admissionOrganisation, []byte(r.Organisation))
	out = appendBytes(out, admissionZone, []byte(r.Zone))
	out = appendNumber(out, admissionPriority, encodeNumber(r.Priority))
	out = appendNumber(out, admissionTimeLeft, encodeMicroseconds(r.LatencyTarget))
	out = appendNumber(out, admissionDeadline, encodeMicroseconds(r.Deadline))
	out = appendNumber(out, admissionFingerprint, r.Fingerprint)
	var packed []byte
	for _, replica := range r.Exclude[:min(len(r.Exclude), maxExcluded)] {
		packed = protowire.AppendFixed32(packed, replica)
	}
	return appendBytes(out, admissionExclude, packed)
}

func unmarshalRequest(data []byte) (r admission.Request, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case admissionID:
			r.ID = v
		case admissionRouter:
			r.Router = string(raw)
		case admissionIncarnation:
			r.Incarnation = int64(v)
		case admissionService:
			r.Service = string(raw)
		case admissionOrganisation:
			r.Organisation = string(raw)
		case admissionZone:
			r.Zone = string(raw)
		case admissionPriority:
			r.Priority = decodeNumber(v)
		case admissionTimeLeft:
			r.LatencyTarget = decodeMicroseconds(v)
		case admissionDeadline:
			r.Deadline = decodeMicroseconds(v)
		case admissionFingerprint:
			r.Fingerprint = v
		case admissionExclude:
			return eachPacked(raw, nil, func(replica uint32) { r.Exclude = append(r.Exclude, replica) })
		}
		return nil
	})
	switch {
	case err != nil:
		return r, err
	case !isValidName(r.Router) || !isValidName(r.Service) || len(r.Organisation) > maxNameLength || len(r.Zone) > maxNameLength:
		return r, errInvalidName
	case len(r.Exclude) > maxExcluded:
		return r, errTooManyExcluded
	}
	return r, nil
}

func marshalReply(reply admission.Reply) []byte {
	out := appendNumber(nil, replyID, reply.ID)
	out = appendNumber(out, replyIncarnation, uint64(reply.Incarnation))
	out = appendNumber(out, replyState, uint64(reply.State))
	out = appendNumber(out, replyReplica, uint64(reply.Replica))
	return appendNumber(out, replyRetryAfter, encodeMicroseconds(reply.RetryAfter))
}

func unmarshalReply(data []byte) (reply admission.Reply, err error) {
	state := uint64(admission.Refused)
	err = eachField(data, func(n protowire.Number, v uint64, _ []byte) error {
		switch n {
		case replyID:
			reply.ID = v
		case replyIncarnation:
			reply.Incarnation = int64(v)
		case replyState:
			state = v
		case replyReplica:
			reply.Replica = uint32(v)
		case replyRetryAfter:
			reply.RetryAfter = decodeMicroseconds(v)
		}
		return nil
	})
	if err == nil && state > uint64(admission.Waiting) {
		err = errUnknownState
	}
	reply.State = admission.State(state)
	return reply, err
}

func (e EndedRequest) marshal() []byte {
	out := appendNumber(nil, endedID, e.ID)
	out = appendBytes(out, endedRouter, []byte(e.Router))
	out = appendNumber(out, endedIncarnation, uint64(e.Incarnation))
	return appendBytes(out, endedService, []byte(e.Service))
}

func marshalEnded(e EndedRequest, u admission.Usage) []byte {
	out := e.marshal()
	out = appendNumber(out, endedReplica, uint64(u.Replica))
	out = appendNumber(out, endedRunning, encodeNumber(u.Running))
	out = appendNumber(out, endedWaiting, encodeNumber(u.Waiting))
	out = appendNumber(out, endedSlots, encodeNumber(u.Slots))
	out = appendNumber(out, endedPace, encodePace(u.Pace))
	out = appendNumber(out, endedDuration, encodeMicroseconds(u.Took))
	out = appendFlag(out, endedFailed, u.Failed)
	return appendFlag(out, endedShed, u.Shed)
}

func unmarshalEnded(data []byte) (e EndedRequest, u admission.Usage, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case endedID:
			e.ID = v
		case endedRouter:
			e.Router = string(raw)
		case endedIncarnation:
			e.Incarnation = int64(v)
		case endedService:
			e.Service = string(raw)
		case endedReplica:
			u.Replica = uint32(v)
		case endedRunning:
			u.Running = decodeNumber(v)
		case endedWaiting:
			u.Waiting = decodeNumber(v)
		case endedSlots:
			u.Slots = decodeNumber(v)
		case endedPace:
			u.Pace = float64(decodeNumber(v)) / usagePaceScale
		case endedDuration:
			u.Took = decodeMicroseconds(v)
		case endedFailed:
			u.Failed = v != 0
		case endedShed:
			u.Shed = v != 0
		}
		return nil
	})
	if err == nil && (!isValidName(e.Router) || !isValidName(e.Service)) {
		err = errInvalidName
	}
	return e, u, err
}

// isValidName reports whether a name is not empty and not too long.
func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

// encodeNumber clamps a number to the bounds of messages.
func encodeNumber(n int) uint64 { return uint64(min(max(n, 0), maxNumber)) }

// decodeNumber clamps a number of a message, which may be malformed.
func decodeNumber(v uint64) int { return int(min(v, maxNumber)) }

// encodeMicroseconds encodes a duration clamped to the bounds of messages.
func encodeMicroseconds(d time.Duration) uint64 {
	return uint64(min(max(d, 0), maxDuration).Microseconds())
}

// decodeMicroseconds decodes a duration of a message and clamps it.
func decodeMicroseconds(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxDuration.Microseconds()))) * time.Microsecond
}

// encodePace encodes a pace; 0 stands for an unknown one.
func encodePace(pace float64) uint64 {
	if !(pace > 0) { // true for NaN too
		return 0
	}
	return uint64(min(max(math.Round(pace*usagePaceScale), 1), maxNumber))
}
