package mesh

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/quarantine"
)

// The field numbers of a crash, of a suspected request and of a sound part on the wire.
const (
	crashReplica protowire.Number = iota + 1
	crashAge
	crashSuspect
)

const (
	suspectAge protowire.Number = iota + 1
	suspectParts
)

const (
	soundPart protowire.Number = iota + 1
	soundAge
)

// PublishQuarantine sends what this router has just learned about parts that crash replicas to a
// few random routers, which forward what is new to them.
func (n *Node) PublishQuarantine(u quarantine.Update) {
	if u.IsEmpty() {
		return
	}
	peers := n.forwardTargets()
	for crash := range slices.Chunk(u.Crashes, 1) { // a crash may fill a datagram
		n.sendChanges(peers, marshalQuarantine(quarantine.Update{Crashes: crash}))
	}
	for sound := range slices.Chunk(u.Sound, maxSoundPerDatagram) {
		n.sendChanges(peers, marshalQuarantine(quarantine.Update{Sound: sound}))
	}
}

// maxSoundPerDatagram keeps a datagram with sound parts below the usual size of a packet.
const maxSoundPerDatagram = 64

// marshalQuarantine encodes an update as fields of a message with changes.
func marshalQuarantine(u quarantine.Update) []byte {
	var body []byte
	for _, c := range u.Crashes {
		body = appendBytes(body, changeCrash, marshalCrash(c))
	}
	for _, s := range u.Sound {
		sound := appendNumber(nil, soundPart, s.Part)
		body = appendBytes(body, changeSound, appendAge(sound, soundAge, s.Age))
	}
	return body
}

// appendAge appends the time since an event in milliseconds.
func appendAge(out []byte, n protowire.Number, age time.Duration) []byte {
	return appendNumber(out, n, uint64(max(age.Milliseconds(), 0)))
}

func marshalCrash(c quarantine.Crash) []byte {
	out := appendNumber(nil, crashReplica, uint64(c.Replica))
	out = appendAge(out, crashAge, c.Age)
	for _, s := range c.Suspects {
		var packed []byte
		for _, part := range s.Parts {
			packed = protowire.AppendVarint(packed, part)
		}
		suspect := appendAge(nil, suspectAge, s.Age)
		out = appendBytes(out, crashSuspect, appendBytes(suspect, suspectParts, packed))
	}
	return out
}

func unmarshalCrash(data []byte) (quarantine.Crash, error) {
	var c quarantine.Crash
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case crashReplica:
			c.Replica = uint32(v)
		case crashAge:
			c.Age = decodeMilliseconds(v)
		case crashSuspect:
			s, err := unmarshalSuspect(raw)
			c.Suspects = append(c.Suspects, s)
			return err
		}
		return nil
	})
	return c, err
}

func unmarshalSuspect(data []byte) (quarantine.Suspect, error) {
	var s quarantine.Suspect
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case suspectAge:
			s.Age = decodeMilliseconds(v)
		case suspectParts:
			return eachVarint(raw, func(part uint64) { s.Parts = append(s.Parts, part) })
		}
		return nil
	})
	return s, err
}

func unmarshalSound(data []byte) (quarantine.Sound, error) {
	var s quarantine.Sound
	err := eachField(data, func(n protowire.Number, v uint64, _ []byte) error {
		switch n {
		case soundPart:
			s.Part = v
		case soundAge:
			s.Age = decodeMilliseconds(v)
		}
		return nil
	})
	return s, err
}

// eachVarint calls f for each integer of a packed list.
func eachVarint(raw []byte, f func(v uint64)) error {
	for len(raw) > 0 {
		v, n := protowire.ConsumeVarint(raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		f(v)
		raw = raw[n:]
	}
	return nil
}
