package peer

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// fakeLoads is a LoadSource, a LoadSink and a RevisionSource.
type fakeLoads struct {
	loads    []peridotusher.EngineLoad
	revision uint64
	set      chan []peridotusher.EngineLoad
}

func (l *fakeLoads) Loads() []peridotusher.EngineLoad { return l.loads }
func (l *fakeLoads) Revision() uint64                 { return l.revision }

func (l *fakeLoads) SetLoads(_ peridotusher.RouterID, loads []peridotusher.EngineLoad) {
	select {
	case l.set <- loads:
	default:
	}
}

func TestHeartbeatCarriesLoadsAndRevision(t *testing.T) {
	source := &fakeLoads{loads: testAnswer.Loads, revision: 41}
	sink := &fakeLoads{set: make(chan []peridotusher.EngineLoad, 1)}
	a := startNode(t, "a", 1, listen(t, ""), func(n *Node) { n.LoadSource, n.RevisionSource = source, source })
	b := startNode(t, "b", 1, listen(t, ""), func(n *Node) { n.LoadSink = sink })
	introduce(t, a, b)
	if diff := cmp.Diff(source.loads, <-sink.set); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(source.revision, b.PeerStates()["a"].Revision); diff != "" {
		t.Errorf("revision (-want +got):\n%s", diff)
	}
}

func TestHandlersOfOtherPackages(t *testing.T) {
	const echoed, failing, unknown Kind = 200, 201, 202 // unused by any package
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), func(n *Node) {
		n.Handle(echoed, func(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
			return body, nil
		})
		n.Handle(failing, func(context.Context, peridotusher.RouterID, []byte) ([]byte, error) {
			return nil, errors.New("refused")
		})
	})
	introduce(t, a, b)
	var reply Hello
	if err := a.Call(testContext(t), "b", echoed, &Hello{Router: "r"}, &reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("r", reply.GetRouter()); diff != "" {
		t.Errorf("echo (-want +got):\n%s", diff)
	}
	for _, kind := range []Kind{failing, unknown} {
		err := a.Call(testContext(t), "b", kind, &Hello{}, nil)
		var remote *RemoteError
		if !errors.As(err, &remote) {
			t.Errorf("kind %d: error %v, want a *RemoteError", kind, err)
		}
	}
}

func TestNewerHeartbeatReplacesQueuedOne(t *testing.T) {
	o := newOutbox(nil, newTraffic(newByteBudget(newFakeClock(), 0)))
	o.replaceHeartbeat(&Envelope{Kind: uint32(KindHeartbeat), Body: []byte("old")})
	o.replaceHeartbeat(&Envelope{Kind: uint32(KindHeartbeat), Body: []byte("new")})
	f := <-o.heartbeat
	if diff := cmp.Diff("new", string(f.envelope.GetBody())); diff != "" {
		t.Errorf("heartbeat (-want +got):\n%s", diff)
	}
}

func TestMessagePastDeadlineIsNotWritten(t *testing.T) {
	o := newOutbox(nil, newTraffic(newByteBudget(newFakeClock(), 0)))
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	deadline, _ := ctx.Deadline()
	var written bytes.Buffer
	if err := o.writeFrame(&written, frame{&Envelope{Id: 1}, deadline}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(0, written.Len()); diff != "" {
		t.Errorf("bytes written (-want +got):\n%s", diff)
	}
}
