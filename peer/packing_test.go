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

// sendPacked packs an envelope at one end and unpacks it at the other. It returns
// the result and the packed size.
func sendPacked(t *testing.T, from, to *fieldTable, e *Envelope) (*Envelope, int) {
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

func TestPackedMessagesRoundTrip(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		from, to := newFieldTable(), newFieldTable()
		for range 2_000 {
			kind, reply, msg := randomMessage(random)
			want := encode(t, kind, reply, msg)
			got, _ := sendPacked(t, from, to, want)
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

// TestFieldTableOverflowWithinOneMessage repeats a field within one message that
// also has enough other fields to evict it from the table.
func TestFieldTableOverflowWithinOneMessage(t *testing.T) {
	from, to := newFieldTable(), newFieldTable()
	msg := &Heartbeat{Loads: []*Load{{Engine: "first", Work: 1}, {Engine: "first", Work: 1}}}
	for k := range fieldTableSize {
		msg.Loads = append(msg.Loads, &Load{Engine: fmt.Sprint("engine-", k)})
	}
	for range 3 {
		want := encode(t, KindHeartbeat, false, msg)
		got, _ := sendPacked(t, from, to, want)
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("envelope (-want +got):\n%s", diff)
		}
	}
}

func TestPackingShortensRepeatedFields(t *testing.T) {
	from, to := newFieldTable(), newFieldTable()
	msg := &AskPermit{Organisation: "shop-athina", Model: "stylist", Class: "chat", Engine: "engine-a1", Loads: []*Load{{Engine: "engine-a2", Work: 3}}}
	_, first := sendPacked(t, from, to, encode(t, KindAsk, false, msg))
	_, second := sendPacked(t, from, to, encode(t, KindAsk, false, msg))
	const names = len("shop-athina" + "stylist" + "chat" + "engine-a1" + "engine-a2")
	if second > first-names {
		t.Errorf("the second message has %d bytes after %d in the first, want at least %d fewer", second, first, names)
	}
}

func TestUnpackRejectsInvalidEnvelopes(t *testing.T) {
	tests := []struct {
		name     string
		envelope *Envelope
	}{
		{"number of an empty slot", &Envelope{Fields: []uint32{3}}},
		{"number beyond the table", &Envelope{Fields: []uint32{fieldTableSize + 1}}},
		{"fresh field missing", &Envelope{Fields: []uint32{freshFieldMarker}}},
		{"fresh field not listed", &Envelope{Fresh: []byte{8, 1}}},
		{"fresh field truncated", &Envelope{Fields: []uint32{freshFieldMarker}, Fresh: []byte{18, 9, 'a'}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := newFieldTable().unpack(test.envelope); !errors.Is(err, errUnpackable) {
				t.Errorf("error %v, want %v", err, errUnpackable)
			}
		})
	}
}

// TestPackingByVersion checks, for pairs of protocol versions, whether a session
// packs fields and that requests arrive unchanged, also on a new session, whose
// field tables start empty.
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
			a := startNode(t, "a", 1, listen(t, ""), func(n *Node) { n.Version = test.a })
			b := startNode(t, "b", 1, listen(t, ""), func(n *Node) { n.Version = test.b })
			introduce(t, a, b)
			ask := peridotusher.Ask{Ingress: "a", Engine: "engine-1", Request: peridotusher.Request{Organisation: "shop-athina", Model: "stylist", Class: "chat"}, Loads: testAnswer.Loads}
			for range 2 {
				askTwice(t, a, ask)
				previous, ok := a.sessions.get("b")
				if !ok {
					t.Fatal("no session after an answer")
				}
				if diff := cmp.Diff(test.packs, previous.lanes[permitLane].fields != nil); diff != "" {
					t.Errorf("packs (-want +got):\n%s", diff)
				}
				previous.close(errReplaced)
				eventually(t, "a new session replaces the closed one", func() bool {
					a.clock.advance(testHeartbeat)
					renewed, ok := a.sessions.get("b")
					return ok && renewed != previous
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

// askTwice sends requests to router b until it has answered two, and compares the
// answers. It retries errors, because a session that was just dialled may still be
// replaced by one that the other end dialled.
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
