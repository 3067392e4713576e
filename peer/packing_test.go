package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"peridotusher.example/peridotusher"
)

// encode returns an envelope of a message.
func encode(t *testing.T, kind Kind, reply bool, msg proto.Message) *Envelope {
	t.Helper()
	body, err := proto.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	return &Envelope{Id: 7, Kind: uint32(kind), Reply: reply, Body: body, Budget: 9}
}

// travel packs an envelope, unpacks it at the other end and returns the size
// on the way.
func travel(t *testing.T, from, to *fieldTable, e *Envelope) (*Envelope, int) {
	t.Helper()
	written, err := proto.Marshal(from.pack(e))
	if err != nil {
		t.Fatal(err)
	}
	var arrived Envelope
	if err := proto.Unmarshal(written, &arrived); err != nil {
		t.Fatal(err)
	}
	if err := to.unpack(&arrived); err != nil {
		t.Fatal(err)
	}
	return &arrived, len(written)
}

// randomMessage returns a message of a kind that is packed, with more distinct
// values than a table remembers.
func randomMessage(random *rand.Rand) (Kind, bool, proto.Message) {
	name := func(of string, count int) string { return fmt.Sprint(of, random.IntN(count)) }
	var loads []*Load
	for range random.IntN(4) {
		loads = append(loads, &Load{Engine: name("engine-", 20), Work: random.Int64N(30)})
	}
	switch random.IntN(5) {
	case 0:
		return KindHeartbeat, false, &Heartbeat{View: random.Uint64(), Loads: loads, Every: 500_000}
	case 1:
		return KindReturn, false, &ReturnPermit{Permit: name("permit-", 1e6), Engine: name("engine-", 20)}
	case 2:
		return KindGrant, false, &AnswerPermit{Granted: true, Owner: name("router-", 8), Loads: loads}
	case 3:
		return KindAsk, true, &AnswerPermit{Next: name("engine-", 20), Cause: "overloaded", Loads: loads}
	default:
		return KindAsk, false, &AskPermit{Chat: name("chat-", 1e6), Organisation: name("shop-", 10), Model: "stylist", Class: "chat",
			Remaining: proto.Int64(0), Engine: name("engine-", 20), Loads: loads}
	}
}

func TestPackedMessagesArriveWhole(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		from, to := newFieldTable(), newFieldTable()
		for range 2_000 {
			kind, reply, msg := randomMessage(random)
			want := encode(t, kind, reply, msg)
			got, _ := travel(t, from, to, want)
			decoded := msg.ProtoReflect().New().Interface()
			if err := proto.Unmarshal(got.GetBody(), decoded); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(msg, decoded, protocmp.Transform()); diff != "" {
				t.Fatalf("seed %d, kind %d (-want +got):\n%s", seed, kind, diff)
			}
			got.Body, want.Body = nil, nil
			if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
				t.Fatalf("seed %d, envelope (-want +got):\n%s", seed, diff)
			}
		}
	}
}

// TestFieldsOfOneMessage repeats a field in a message and fills the table
// between two uses of a field.
func TestFieldsOfOneMessage(t *testing.T) {
	from, to := newFieldTable(), newFieldTable()
	msg := &Heartbeat{Loads: []*Load{{Engine: "first", Work: 1}, {Engine: "first", Work: 1}}}
	for k := range packedEntries {
		msg.Loads = append(msg.Loads, &Load{Engine: fmt.Sprint("engine-", k)})
	}
	for range 3 {
		want := encode(t, KindHeartbeat, false, msg)
		got, _ := travel(t, from, to, want)
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("envelope (-want +got):\n%s", diff)
		}
	}
}

func TestRepeatedFieldsAreShort(t *testing.T) {
	from, to := newFieldTable(), newFieldTable()
	msg := &AskPermit{Organisation: "shop-athina", Model: "stylist", Class: "chat", Engine: "engine-a1", Loads: []*Load{{Engine: "engine-a2", Work: 3}}}
	_, first := travel(t, from, to, encode(t, KindAsk, false, msg))
	_, second := travel(t, from, to, encode(t, KindAsk, false, msg))
	const names = len("shop-athina" + "stylist" + "chat" + "engine-a1" + "engine-a2")
	if second > first-names {
		t.Errorf("the second ask has %d bytes after %d, want at least %d fewer", second, first, names)
	}
}

func TestUnpackRefusesWhatWasNotSent(t *testing.T) {
	tests := []struct {
		name     string
		envelope *Envelope
	}{
		{"number of no field", &Envelope{Fields: []uint32{3}}},
		{"number beyond the table", &Envelope{Fields: []uint32{packedEntries + 1}}},
		{"fresh field missing", &Envelope{Fields: []uint32{freshField}}},
		{"fresh field left over", &Envelope{Fresh: []byte{8, 1}}},
		{"fresh field cut", &Envelope{Fields: []uint32{freshField}, Fresh: []byte{18, 9, 'a'}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := newFieldTable().unpack(test.envelope); !errors.Is(err, errUnpackable) {
				t.Errorf("error %v, want %v", err, errUnpackable)
			}
		})
	}
}

// TestPackingByVersion asks a router again after its session was renewed, with
// each pair of neighbouring versions, and compares the asks that arrive.
func TestPackingByVersion(t *testing.T) {
	tests := []struct {
		a, b  uint32
		packs bool
	}{
		{2, 2, false},
		{2, 3, false},
		{3, 2, false},
		{3, 3, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d to %d", test.a, test.b), func(t *testing.T) {
			a := start(t, "a", 1, listen(t, ""), func(n *Node) { n.Version = test.a })
			b := start(t, "b", 1, listen(t, ""), func(n *Node) { n.Version = test.b })
			introduce(t, a, b)
			ask := peridotusher.Ask{Ingress: "a", Engine: "engine-1", Request: peridotusher.Request{Organisation: "shop-athina", Model: "stylist", Class: "chat"}, Loads: testAnswer.Loads}
			for range 2 {
				askTwice(t, a, ask)
				old, ok := a.sessions.get("b")
				if !ok {
					t.Fatal("no session after an answer")
				}
				if diff := cmp.Diff(test.packs, old.lanes[permitLane].fields != nil); diff != "" {
					t.Errorf("packs (-want +got):\n%s", diff)
				}
				old.close(errReplaced)
				eventually(t, "the session is renewed", func() bool {
					a.clock.advance(testHeartbeat)
					renewed, ok := a.sessions.get("b")
					return ok && renewed != old
				})
			}
			b.permits.mu.Lock()
			defer b.permits.mu.Unlock()
			for _, got := range b.permits.asks {
				if diff := cmp.Diff(ask, got); diff != "" {
					t.Errorf("ask (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// askTwice asks router b until it answered twice, and compares the answers. A
// session that was just dialled may still be replaced by one of the other end.
func askTwice(t *testing.T, a *testNode, ask peridotusher.Ask) {
	t.Helper()
	want := testAnswer
	want.Owner = "b"
	for range 2 {
		eventually(t, "b answers", func() bool {
			got, err := a.Ask(testContext(t), "b", ask)
			if err != nil {
				return false
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			return true
		})
	}
}
