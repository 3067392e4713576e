package mesh

import (
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/admission"
)

// admissionRecorder records the admission messages that a node receives.
type admissionRecorder struct {
	requests []admission.Request
	replies  []admission.Reply
	released []EndedRequest
	usages   []admission.Usage
	canceled []EndedRequest
}

func (k *admissionRecorder) Submit(r admission.Request)    { k.requests = append(k.requests, r) }
func (k *admissionRecorder) Receive(reply admission.Reply) { k.replies = append(k.replies, reply) }
func (k *admissionRecorder) Cancel(e EndedRequest)         { k.canceled = append(k.canceled, e) }
func (k *admissionRecorder) Release(e EndedRequest, u admission.Usage) {
	k.released, k.usages = append(k.released, e), append(k.usages, u)
}

var (
	sampleRequest = admission.Request{
		ID: 7, Router: "r1", Incarnation: 1 << 40, Service: "s", Organisation: "shop", Zone: "a", Priority: 2,
		LatencyTarget: 480 * time.Millisecond, Deadline: 2 * time.Second, Fingerprint: math.MaxUint64, Exclude: []uint32{1, math.MaxUint32},
	}
	sampleReply = admission.Reply{ID: 7, Incarnation: 1 << 40, State: admission.Granted, Replica: 9, RetryAfter: 250 * time.Millisecond}
	sampleEnded = EndedRequest{Service: "s", Router: "r1", Incarnation: 1 << 40, ID: 7}
	sampleUsage = admission.Usage{Replica: 9, Running: 4, Waiting: 2, Slots: 6, Pace: 5.25, Took: 50 * time.Millisecond, Failed: true, Shed: true}
)

// TestAdmissionMessageRoundTrip guards against fields that are lost in admission messages.
func TestAdmissionMessageRoundTrip(t *testing.T) {
	var got admissionRecorder
	n := &Node{Self: Member{Name: "self"}, State: &testState{}, Admission: &got, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	for _, data := range [][]byte{
		appendBytes(nil, messageAdmissionRequest, marshalRequest(sampleRequest)),
		appendBytes(nil, messageAdmissionReply, marshalReply(sampleReply)),
		appendBytes(nil, messageRelease, marshalEnded(sampleEnded, sampleUsage)),
		appendBytes(nil, messageCancel, marshalEnded(sampleEnded, admission.Usage{})),
	} {
		if err := n.receiveDatagram(data, from); err != nil {
			t.Error(err)
		}
	}
	want := admissionRecorder{
		requests: []admission.Request{sampleRequest}, replies: []admission.Reply{sampleReply},
		released: []EndedRequest{sampleEnded}, usages: []admission.Usage{sampleUsage}, canceled: []EndedRequest{sampleEnded},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(admissionRecorder{})); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	if address := n.members.address("r1"); address != from.String() {
		t.Errorf("address of the requesting router = %q, want %v", address, from)
	}
}

// TestAdmissionOutOfBounds guards against names, lists and numbers in messages that exceed their
// bounds.
func TestAdmissionOutOfBounds(t *testing.T) {
	var got admissionRecorder
	n := &Node{Self: Member{Name: "self"}, State: &testState{}, Admission: &got, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	with := func(change func(r *admission.Request)) []byte {
		r := sampleRequest
		change(&r)
		return appendBytes(nil, messageAdmissionRequest, marshalRequest(r))
	}
	excluded := appendBytes(marshalRequest(sampleRequest), admissionExclude, make([]byte, 4*maxExcluded))
	for name, data := range map[string][]byte{
		"no router":             with(func(r *admission.Request) { r.Router = "" }),
		"no service":            with(func(r *admission.Request) { r.Service = "" }),
		"a long service":        with(func(r *admission.Request) { r.Service = strings.Repeat("x", maxNameLength+1) }),
		"a long zone":           with(func(r *admission.Request) { r.Zone = strings.Repeat("x", maxNameLength+1) }),
		"many excluded":         appendBytes(nil, messageAdmissionRequest, excluded),
		"an unknown state":      appendBytes(nil, messageAdmissionReply, appendNumber(nil, replyState, 256)),
		"release without names": appendBytes(nil, messageRelease, appendNumber(nil, endedID, 1)),
	} {
		if err := n.receiveDatagram(data, &net.UDPAddr{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if diff := cmp.Diff(admissionRecorder{}, got, cmp.AllowUnexported(admissionRecorder{})); diff != "" {
		t.Errorf("accepted messages (-want +got):\n%s", diff)
	}
	for _, pace := range []float64{math.NaN(), math.Inf(-1), -1, 0} {
		if v := encodePace(pace); v != 0 {
			t.Errorf("pace %v is encoded as %d, want 0", pace, v)
		}
	}
	huge := appendNumber(marshalEnded(sampleEnded, admission.Usage{}), endedDuration, math.MaxUint64)
	if _, u, err := unmarshalEnded(huge); err != nil || u.Took != maxDuration {
		t.Errorf("duration = %v, %v; want %v", u.Took, err, maxDuration)
	}
}

// TestRoutersAgreeOnFirstRouter has all routers of a fleet compute the first router for a topic: they
// agree, and it is never one that stops, is silent or of another format.
func TestRoutersAgreeOnFirstRouter(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := newFleet(peridotusher.ClockFunc(func() time.Time { return now }), "a", "a", "b", "b", "b")
	const topic = "s"
	agreed := func(nodes []*Node) string {
		t.Helper()
		first, _, _ := nodes[0].FirstRouter(topic, true)
		for _, n := range nodes {
			name, self, ok := n.FirstRouter(topic, true)
			if name != first || !ok || self != (name == n.Self.Name) {
				t.Errorf("First at %s = %s (self %v, ok %v), at another router %s", n.Self.Name, name, self, ok, first)
			}
		}
		return first
	}
	before := agreed(nodes)
	var rest []*Node
	for _, n := range nodes {
		if n.Self.Name == before {
			if name, self, ok := n.FirstRouter(topic, false); name == before || self || !ok {
				t.Errorf("the first router still returns itself without own set")
			}
			continue
		}
		n.members.known[before].stopping = true
		rest = append(rest, n)
	}
	second := agreed(rest)
	if second == before {
		t.Errorf("%s is first though it stops", before)
	}
	for _, n := range rest {
		if n.Self.Name != second {
			n.members.known[second].format++
		}
	}
	if name, _, _ := rest[0].FirstRouter(topic, true); name == second && rest[0].Self.Name != second {
		t.Errorf("%s is first though it is of another format", second)
	}
	now = now.Add(time.Hour)
	if name, self, ok := rest[0].FirstRouter(topic, true); name != rest[0].Self.Name || !self || !ok {
		t.Errorf("%s is first though it is silent", name)
	}
	if name, _, ok := rest[0].FirstRouter(topic, false); ok {
		t.Errorf("%s is first though no other router is alive", name)
	}
}

// TestLostReleaseIsRepeated guards against a slot that stays occupied because the datagram with its
// release was lost: the next datagram repeats the release, and the one after that does not.
func TestLostReleaseIsRepeated(t *testing.T) {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var got admissionRecorder
	clock := peridotusher.ClockFunc(time.Now)
	coordinator := &Node{Self: Member{Name: "coordinator"}, State: &testState{}, Admission: &got, Clock: clock, Log: discard{}}
	sender := &Node{Self: Member{Name: "sender", Incarnation: 3}, State: &testState{}, Clock: clock, Log: discard{}}
	coordinator.Init()
	sender.Init()
	sender.AddMember(Member{Name: "coordinator", Address: l.LocalAddr().String()})
	sender.datagrams.Store(&l)
	sender.Release("coordinator", "s", 1, sampleUsage)
	sender.SendAdmissionRequest("coordinator", admission.Request{ID: 2, Service: "s"})
	sender.SendAdmissionRequest("coordinator", admission.Request{ID: 3, Service: "s"})
	if err := l.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, maxDatagramSize)
	for i := range 3 {
		size, from, err := l.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			continue // lost
		}
		if err := coordinator.receiveDatagram(buf[:size], from); err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff([]EndedRequest{{Service: "s", Router: "sender", Incarnation: 3, ID: 1}}, got.canceled); diff != "" {
		t.Errorf("canceled requests (-want +got):\n%s", diff)
	}
	if len(got.requests) != 2 {
		t.Errorf("%d requests received, want 2", len(got.requests))
	}
}
