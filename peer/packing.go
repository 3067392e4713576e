package peer

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// fieldTableSize is the number of fields that each end of a stream remembers.
	fieldTableSize = 256
	// freshFieldMarker stands for the next fresh field in an envelope's list of
	// numbers. A fresh field is one that the receiver does not remember yet.
	freshFieldMarker = fieldTableSize
	// minPackedBytes and maxPackedBytes limit the size of the fields that are
	// remembered.
	minPackedBytes = 4
	maxPackedBytes = 128
)

// errUnpackable means that a packed message refers to a field that was not sent,
// or does not match its list of fields.
var errUnpackable = errors.New("packed message does not fit what was sent before")

// The fields of each kind whose values often repeat: names of engines, routers,
// organisations, models, classes and causes, and loads.
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

// packedFields returns the numbers of the fields of an envelope's body that are
// packed.
func packedFields(e *Envelope) []protowire.Number {
	if e.GetReply() {
		return packedReplies[Kind(e.GetKind())]
	}
	return packedRequests[Kind(e.GetKind())]
}

// fieldTable is a ring buffer of the encoded fields that one end of a stream sent
// or received last. Both ends hold the same fields, because a stream preserves the
// order of messages.
type fieldTable struct {
	fields  [fieldTableSize]string
	numbers map[string]uint32 // index in fields
	next    uint32            // index of the oldest field
}

func newFieldTable() *fieldTable {
	return &fieldTable{numbers: make(map[string]uint32)}
}

// add stores a field in place of the oldest one.
func (t *fieldTable) add(field string) {
	oldest := t.fields[t.next]
	if number, ok := t.numbers[oldest]; ok && number == t.next {
		delete(t.numbers, oldest)
	}
	t.fields[t.next] = field
	t.numbers[field] = t.next
	t.next = (t.next + 1) % fieldTableSize
}

// get returns the field with a number.
func (t *fieldTable) get(number uint32) (string, bool) {
	if number >= fieldTableSize || t.fields[number] == "" {
		return "", false
	}
	return t.fields[number], true
}

// pack returns the envelope with the fields that the peer remembers replaced by
// their numbers. The values of a repeated field keep their order.
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
			out.Fields = append(out.Fields, freshFieldMarker)
			out.Fresh = append(out.Fresh, field...)
		}
	}
	// The fresh fields are well-formed, since they were parsed from the body above.
	_ = t.addAll(out.Fresh)
	return out
}

// unpack restores the body of a received envelope.
func (t *fieldTable) unpack(e *Envelope) error {
	fresh := e.GetFresh()
	for _, number := range e.GetFields() {
		if number != freshFieldMarker {
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

// addAll stores consecutive encoded fields.
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
