package mesh

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/admission"
)

const (
	// nameMost bounds the names of services, organisations, zones and routers in
	// messages, in bytes, excludeMost the replicas that a request cannot use.
	nameMost    = 255
	excludeMost = 32
	// timeMost bounds the times in messages, figureMost the other figures.
	timeMost   = time.Hour
	figureMost = 1 << 20
	// paceParts is the number of parts of a pace of 1 as it is sent.
	paceParts = 100
)

var (
	errName    = errors.New("a name is missing or too long")
	errExclude = errors.New("too many replicas are excluded")
	errState   = errors.New("unknown state of a request")
)

// The field numbers of a request.
const (
	askID protowire.Number = iota + 1
	askRouter
	askIncarnation
	askService
	askOrganisation
	askZone
	askPriority
	askLeft
	askDeadline
	askFingerprint
	askExclude
)

// The field numbers of a reply.
const (
	replyID protowire.Number = iota + 1
	replyIncarnation
	replyState
	replyReplica
	replyRetryAfter
)

// The field numbers of a request that has ended.
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
	endedTook
	endedFailed
	endedShed
)

func marshalRequest(r admission.Request) []byte {
	out := appendNumber(nil, askID, r.ID)
	out = appendBytes(out, askRouter, []byte(r.Router))
	out = appendNumber(out, askIncarnation, uint64(r.Incarnation))
	out = appendBytes(out, askService, []byte(r.Service))
	out = appendBytes(out, askOrganisation, []byte(r.Organisation))
	out = appendBytes(out, askZone, []byte(r.Zone))
	out = appendNumber(out, askPriority, figure(r.Priority))
	out = appendNumber(out, askLeft, microseconds(r.LatencyTarget))
	out = appendNumber(out, askDeadline, microseconds(r.Deadline))
	out = appendNumber(out, askFingerprint, r.Fingerprint)
	var packed []byte
	for _, replica := range r.Exclude[:min(len(r.Exclude), excludeMost)] {
		packed = protowire.AppendFixed32(packed, replica)
	}
	return appendBytes(out, askExclude, packed)
}

func unmarshalRequest(data []byte) (r admission.Request, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case askID:
			r.ID = v
		case askRouter:
			r.Router = string(raw)
		case askIncarnation:
			r.Incarnation = int64(v)
		case askService:
			r.Service = string(raw)
		case askOrganisation:
			r.Organisation = string(raw)
		case askZone:
			r.Zone = string(raw)
		case askPriority:
			r.Priority = bounded(v)
		case askLeft:
			r.LatencyTarget = duration(v)
		case askDeadline:
			r.Deadline = duration(v)
		case askFingerprint:
			r.Fingerprint = v
		case askExclude:
			return eachPacked(raw, nil, func(replica uint32) { r.Exclude = append(r.Exclude, replica) })
		}
		return nil
	})
	switch {
	case err != nil:
		return r, err
	case !named(r.Router) || !named(r.Service) || len(r.Organisation) > nameMost || len(r.Zone) > nameMost:
		return r, errName
	case len(r.Exclude) > excludeMost:
		return r, errExclude
	}
	return r, nil
}

func marshalReply(reply admission.Reply) []byte {
	out := appendNumber(nil, replyID, reply.ID)
	out = appendNumber(out, replyIncarnation, uint64(reply.Incarnation))
	out = appendNumber(out, replyState, uint64(reply.State))
	out = appendNumber(out, replyReplica, uint64(reply.Replica))
	return appendNumber(out, replyRetryAfter, microseconds(reply.RetryAfter))
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
			reply.RetryAfter = duration(v)
		}
		return nil
	})
	if err == nil && state > uint64(admission.Waiting) {
		err = errState
	}
	reply.State = admission.State(state)
	return reply, err
}

func (e Ended) marshal() []byte {
	out := appendNumber(nil, endedID, e.ID)
	out = appendBytes(out, endedRouter, []byte(e.Router))
	out = appendNumber(out, endedIncarnation, uint64(e.Incarnation))
	return appendBytes(out, endedService, []byte(e.Service))
}

func marshalEnded(e Ended, u admission.Usage) []byte {
	out := e.marshal()
	out = appendNumber(out, endedReplica, uint64(u.Replica))
	out = appendNumber(out, endedRunning, figure(u.Running))
	out = appendNumber(out, endedWaiting, figure(u.Waiting))
	out = appendNumber(out, endedSlots, figure(u.Slots))
	out = appendNumber(out, endedPace, paceFigure(u.Pace))
	out = appendNumber(out, endedTook, microseconds(u.Took))
	out = appendFlag(out, endedFailed, u.Failed)
	return appendFlag(out, endedShed, u.Shed)
}

func unmarshalEnded(data []byte) (e Ended, u admission.Usage, err error) {
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
			u.Running = bounded(v)
		case endedWaiting:
			u.Waiting = bounded(v)
		case endedSlots:
			u.Slots = bounded(v)
		case endedPace:
			u.Pace = float64(bounded(v)) / paceParts
		case endedTook:
			u.Took = duration(v)
		case endedFailed:
			u.Failed = v != 0
		case endedShed:
			u.Shed = v != 0
		}
		return nil
	})
	if err == nil && (!named(e.Router) || !named(e.Service)) {
		err = errName
	}
	return e, u, err
}

// named reports whether a name is set and not too long.
func named(name string) bool { return name != "" && len(name) <= nameMost }

func figure(n int) uint64 { return uint64(min(max(n, 0), figureMost)) }

func bounded(v uint64) int { return int(min(v, figureMost)) }

func microseconds(d time.Duration) uint64 { return uint64(min(max(d, 0), timeMost).Microseconds()) }

func duration(v uint64) time.Duration {
	return time.Duration(min(v, uint64(timeMost.Microseconds()))) * time.Microsecond
}

// paceFigure returns a pace as it is sent; 0 stands for none.
func paceFigure(pace float64) uint64 {
	if !(pace > 0) { // also if it is not a number
		return 0
	}
	return uint64(min(max(math.Round(pace*paceParts), 1), figureMost))
}
