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

// TestMalformedDatagrams sends a router datagrams of all kinds that were cut, changed or
// made up: each is an error or accepted, none makes the code panic.
func TestMalformedDatagrams(t *testing.T) {
	const plays = 30000
	clock := peridotusher.ClockFunc(time.Now)
	n := &Node{Self: Member{Name: "self"}, State: &testState{}, Admission: &admissionRecorder{}, Clock: clock, Log: discard{}}
	n.Init()
	b := sampleHeartbeat()
	huge := Heartbeat{Member: Member{Name: "huge"}, Format: format, Routers: math.MaxInt64, ReadAge: math.MaxInt64, Known: []Member{{Name: "x"}}}
	placed := appendNumber(nil, placedUse, uint64(placing.ReadEnded))
	samples := [][]byte{
		b.marshal(), huge.marshal(),
		appendBytes(nil, callQuery, query{number: 3, key: 9}.marshal()),
		appendBytes(nil, callHolders, query{number: 3, holders: []placing.CacheHolder{{Replica: 4}}}.marshal()),
		appendBytes(nil, callPlaced, appendBytes(placed, placedPlacements, packPlacements(b.Reads))),
		appendBytes(nil, callChange, appendBytes(nil, changeEntry, marshalEntry(b.Changes[0]))),
		appendBytes(nil, callDelegate, appendNumber(nil, delegatedHops, math.MaxUint64)),
		protowire.AppendTag(nil, callChange, protowire.BytesType),
		appendBytes(nil, callAsk, marshalRequest(sampleRequest)),
		appendBytes(nil, callReply, marshalReply(sampleReply)),
		appendBytes(nil, callRelease, marshalEnded(sampleEnded, sampleUsage)),
		appendBytes(nil, callCancel, marshalEnded(sampleEnded, admission.Usage{})),
	}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	rnd := rand.New(rand.NewPCG(3, 3))
	for i := range plays {
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

// panicky is a State that panics on each message.
type panicky struct{ *testState }

func (panicky) Merge(*Heartbeat)          { panic("of a beat") }
func (panicky) Apply(*SyncResponse) error { panic("of an answer") }

// TestPanicsAreErrors guards against a message of another router that ends the process.
func TestPanicsAreErrors(t *testing.T) {
	n := &Node{Self: Member{Name: "self"}, State: panicky{&testState{}}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	b := sampleHeartbeat()
	if err := n.receiveDatagram(b.marshal(), &net.UDPAddr{}); !errors.Is(err, errPanic) {
		t.Errorf("a heartbeat: %v, want %v", err, errPanic)
	}
	if err := n.apply(&SyncResponse{}); !errors.Is(err, errPanic) {
		t.Errorf("an answer: %v, want %v", err, errPanic)
	}
}
