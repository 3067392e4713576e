package mesh

import (
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/placing"
)

// TestMalformedDatagrams sends a router datagrams of all kinds that were truncated or changed at
// random: each is an error or accepted, none makes the code panic.
func TestMalformedDatagrams(t *testing.T) {
	const datagrams = 30000
	clock := peridotusher.ClockFunc(time.Now)
	n := &Node{Self: Member{Name: "self"}, State: &testState{}, Admission: &admissionRecorder{}, Clock: clock, Log: discard{}}
	n.Init()
	h := sampleHeartbeat()
	huge := Heartbeat{Member: Member{Name: "huge"}, Format: format, RouterCount: math.MaxInt64, ReadAge: math.MaxInt64, Known: []Member{{Name: "x"}}}
	use := appendNumber(nil, placementsUse, uint64(placing.ReadEnded))
	samples := [][]byte{
		h.marshal(), huge.marshal(),
		appendBytes(nil, messageQuery, query{number: 3, key: 9}.marshal()),
		appendBytes(nil, messageHolders, query{number: 3, holders: []placing.CacheHolder{{Replica: 4}}}.marshal()),
		appendBytes(nil, messagePlacements, appendBytes(use, placementsList, packPlacements(h.Reads))),
		appendBytes(nil, messageChanges, appendBytes(nil, changeEntry, marshalEntry(h.Changes[0]))),
		appendBytes(nil, messageChanges, marshalQuarantine(sampleQuarantine)),
		appendBytes(nil, messageDelegation, appendNumber(nil, delegatedHops, math.MaxUint64)),
		protowire.AppendTag(nil, messageChanges, protowire.BytesType),
		appendBytes(nil, messageAdmissionRequest, marshalRequest(sampleRequest)),
		appendBytes(nil, messageAdmissionReply, marshalReply(sampleReply)),
		appendBytes(nil, messageRelease, marshalEnded(sampleEnded, sampleUsage)),
		appendBytes(nil, messageCancel, marshalEnded(sampleEnded, admission.Usage{})),
	}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	rnd := rand.New(rand.NewPCG(3, 3))
	for i := range datagrams {
		data := append([]byte(nil), samples[i%len(samples)]...)
		for range rnd.IntN(4) {
			data[rnd.IntN(len(data))] = byte(rnd.IntN(256))
		}
		data = data[:len(data)-rnd.IntN(2)*rnd.IntN(len(data))]
		if err := n.receiveDatagram(data, from); errors.Is(err, errPanic) {
			t.Fatalf("datagram %x: %v", data, err)
		}
		if i%1000 == 0 {
			n.members.alive()
			n.SpreadTime()
		}
	}
}

// panickingState is a State that panics on heartbeats and fetched state.
type panickingState struct{ *testState }

func (panickingState) Merge(*Heartbeat)          { panic("in Merge") }
func (panickingState) Apply(*SyncResponse) error { panic("in Apply") }

// TestPanicsAreErrors guards against a message of another router that ends the process.
func TestPanicsAreErrors(t *testing.T) {
	n := &Node{Self: Member{Name: "self"}, State: panickingState{&testState{}}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	h := sampleHeartbeat()
	if err := n.receiveDatagram(h.marshal(), &net.UDPAddr{}); !errors.Is(err, errPanic) {
		t.Errorf("a heartbeat: %v, want %v", err, errPanic)
	}
	if err := n.apply(&SyncResponse{}); !errors.Is(err, errPanic) {
		t.Errorf("a response: %v, want %v", err, errPanic)
	}
}
