package peer

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// packedEntries is the number of fields that each end of a stream remembers.
	packedEntries = 256
	// freshField stands for the next fresh field in a list of numbers.
	freshField = packedEntries
	// minPackedBytes and maxPackedBytes bound the size of a field worth remembering.
	minPackedBytes = 4
	maxPackedBytes = 128
)

// errUnpackable means that a message names a field that was never sent.
var errUnpackable = errors.New("packed message does not fit what was sent before")

// The fields of each kind that often carry the same value again. They name
// engines, routers, organisations, models, classes and causes, or hold loads.
var (
	packedRequests = map[Kind][]protowire.Number{
		KindHeartbeat: {4},
		KindAsk:       {3, 4, 5, 8, 9, 18},
		KindReturn:    {2, 3},
		KindGrant:     {3, 4, 5, 7, 11},
	}
	packedReplies = map[Kind][]protowire.Number{
		KindAsk: {3, 4, 5, 7, 11},
	}
)

// packedFields returns the fields of an envelope's body that are packed.
func packedFields(e *Envelope) []protowire.Number {
	if e.GetReply() {
		return packedReplies[Kind(e.GetKind())]
	}
	return packedRequests[Kind(e.GetKind())]
}

// fieldTable is a ring of the encoded fields that one end of a stream sent or
// received lately. Both ends hold the same, because messages keep their order.
type fieldTable struct {
	fields  [packedEntries]string
	numbers map[string]uint32 // of the fields
	next    uint32
}

func newFieldTable() *fieldTable {
	return &fieldTable{numbers: make(map[string]uint32)}
}

// add remembers a field in the place of the oldest one.
func (t *fieldTable) add(field string) {
	old := t.fields[t.next]
	if number, ok := t.numbers[old]; ok && number == t.next {
		delete(t.numbers, old)
	}
	t.fields[t.next] = field
	t.numbers[field] = t.next
	t.next = (t.next + 1) % packedEntries
}

// get returns the field of a number.
func (t *fieldTable) get(number uint32) (string, bool) {
	if number >= packedEntries || t.fields[number] == "" {
		return "", false
	}
	return t.fields[number], true
}

// pack returns the envelope with the fields that the other end remembers
// replaced by their numbers. A repeated field keeps its order.
func (t *fieldTable) pack(e *Envelope) *Envelope {
	packed := packedFields(e)
	if len(packed) == 0 {
		return e
	}
	out := &Envelope{Id: e.GetId(), Kind: e.GetKind(), Reply: e.GetReply(), Error: e.GetError(), Budget: e.GetBudget()}
	for rest := e.GetBody(); len(rest) > 0; {
		number, _, size := protowire.ConsumeField(rest)
		if size < 0 {
			return e
		}
		field := rest[:size]
		rest = rest[size:]
		remembered, ok := t.numbers[string(field)]
		switch {
		case size < minPackedBytes || size > maxPackedBytes || !slices.Contains(packed, number):
			out.Body = append(out.Body, field...)
		case ok:
			out.Fields = append(out.Fields, remembered)
		default:
			out.Fields = append(out.Fields, freshField)
			out.Fresh = append(out.Fresh, field...)
		}
	}
	// The fresh fields are well-formed, since they were cut from the body above.
	_ = t.addAll(out.Fresh)
	return out
}

// unpack restores the body of an envelope that arrived.
func (t *fieldTable) unpack(e *Envelope) error {
	fresh := e.GetFresh()
	for _, number := range e.GetFields() {
		if number != freshField {
			field, ok := t.get(number)
			if !ok {
				return errUnpackable
			}
			e.Body = append(e.Body, field...)
			continue
		}
		_, _, size := protowire.ConsumeField(fresh)
		if size < 0 {
			return errUnpackable
		}
		e.Body = append(e.Body, fresh[:size]...)
		fresh = fresh[size:]
	}
	if len(fresh) > 0 {
		return errUnpackable
	}
	err := t.addAll(e.GetFresh())
	e.Fields, e.Fresh = nil, nil
	return err
}

// addAll remembers fields that follow one another.
func (t *fieldTable) addAll(fields []byte) error {
	for len(fields) > 0 {
		_, _, size := protowire.ConsumeField(fields)
		if size < 0 {
			return errUnpackable
		}
		t.add(string(fields[:size]))
		fields = fields[size:]
	}
	return nil
}
