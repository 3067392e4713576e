package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/service"
)

// crashPeriod is the time in which crashes of an engine count as one.
const crashPeriod = 10 * time.Second

// promptParts returns hashes of the parts of a chat that other requests may share: its messages
// but the last one. It returns nil for a body that cannot be decoded.
func promptParts(body []byte) []uint64 {
	var chat struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &chat) != nil || len(chat.Messages) < 2 {
		return nil
	}
	var parts []uint64
	for _, message := range chat.Messages[:len(chat.Messages)-1] {
		parts = append(parts, xxhash.Sum64(message))
	}
	return parts
}

// sharedParts returns promptParts of the caller's request, which are decoded when they are first
// needed.
func (s *chatStream) sharedParts() []uint64 {
	if !s.partsDecoded {
		s.parts, s.partsDecoded = promptParts(s.call.Body), true
	}
	return s.parts
}

// checkQuarantine returns a Failure if the request must not be sent, because requests like it
// crash engines. admitted is whether it has been sent before.
func (s *chatStream) checkQuarantine(admitted bool) error {
	table := s.host.quarantine
	if !table.IsSuspicious() {
		return nil
	}
	var left time.Duration
	ok := true
	if admitted {
		var blocked bool
		left, blocked = table.Blocked(s.sharedParts())
		ok = !blocked
	} else {
		left, ok = table.Admit(s.sharedParts())
	}
	if ok {
		return nil
	}
	f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseQuarantined, "requests with messages of this chat crash engines")
	return f.WithRetryAfter(left)
}

// recordBegun records that an engine has begun to answer the request.
func (s *chatStream) recordBegun() {
	if s.begun {
		return
	}
	s.begun = true
	if s.host.quarantine.IsSuspicious() {
		s.host.quarantine.RecordBegun(s.sharedParts())
	}
}

// recordIfCrashed records a crash if the engine has ended, whose connection broke with an error
// before it had sent any event. The end of an engine that departs is no crash.
func (s *chatStream) recordIfCrashed(e peridotusher.Engine, err error) {
	if s.begun || !quarantine.ClosedByPeer(err) || len(s.sharedParts()) == 0 || isDeparting(s.host.engines, e.ID()) || !service.HasEnded(s.ctx, e.Address(), 0) {
		return
	}
	s.host.Log.WithFields(logrus.Fields{"request": s.call.Request.ID, "engine": e.ID()}).Warn("engine crashed before the first event")
	s.host.quarantine.RecordCrash(crashHash(e.ID(), s.host.Clock.Now()), s.sentAt, s.sharedParts())
}

// crashHash identifies a crash of an engine, which may start again under its ID.
func crashHash(id peridotusher.EngineID, now time.Time) uint32 {
	return uint32(xxhash.Sum64String(string(id) + "/" + strconv.FormatInt(now.UnixNano()/int64(crashPeriod), 10)))
}
