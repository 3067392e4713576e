package config

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
	"peridotusher.example/peridotusher/store"
)

const waitLimit = 20 * time.Second

var errDisconnected = errors.New("no connection")

// testNetwork connects the sources of a test. It stands for the connections
// between routers and for their tables of members.
type testNetwork struct {
	mu      sync.Mutex
	routers map[peridotusher.RouterID]*router
}

// router is one source with its connections to the others.
type router struct {
	network      *testNetwork
	source       *Source
	handlers     map[peer.Kind]peer.HandlerFunc
	disconnected bool
	stop         context.CancelFunc
}

func (r *router) Handle(kind peer.Kind, h peer.HandlerFunc) { r.handlers[kind] = h }

func (r *router) PeerStates() map[peridotusher.RouterID]peer.ReportedState {
	states := map[peridotusher.RouterID]peer.ReportedState{}
	for _, other := range r.network.reachable(r) {
		states[other.source.Self.ID()] = peer.ReportedState{Revision: other.source.Revision()}
	}
	delete(states, r.source.Self.ID())
	return states
}

func (r *router) Live(zone peridotusher.Zone) []peridotusher.Member {
	var live []peridotusher.Member
	for _, other := range r.network.reachable(r) {
		if other.source.Self.Zone() == zone {
			live = append(live, other.source.Self)
		}
	}
	return live
}

func (r *router) Call(ctx context.Context, to peridotusher.RouterID, kind peer.Kind, msg, reply proto.Message) error {
	for _, other := range r.network.reachable(r) {
		if other.source.Self.ID() != to {
			continue
		}
		body, err := proto.Marshal(msg)
		if err != nil {
			return err
		}
		answer, err := other.handlers[kind](ctx, r.source.Self.ID(), body)
		if err != nil || reply == nil {
			return err
		}
		return proto.Unmarshal(answer, reply)
	}
	return errDisconnected
}

func (r *router) Notify(ctx context.Context, to peridotusher.RouterID, kind peer.Kind, msg proto.Message) error {
	return r.Call(ctx, to, kind, msg, nil)
}

// reachable returns the routers that r is connected to, itself included.
func (n *testNetwork) reachable(r *router) []*router {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.disconnected {
		return []*router{r}
	}
	var list []*router
	for _, id := range slices.Sorted(maps.Keys(n.routers)) {
		if other := n.routers[id]; !other.disconnected {
			list = append(list, other)
		}
	}
	return list
}

// addRouter runs a source on the store until the end of the test.
func (n *testNetwork) addRouter(t *testing.T, name string, client Store) *router {
	t.Helper()
	r := &router{network: n, handlers: map[peer.Kind]peer.HandlerFunc{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.source = &Source{
		Self:         peridotusher.NewMember(peridotusher.RouterID(name), "a", name, 1).WithState(peridotusher.MemberLive),
		Store:        client,
		Prefix:       testPrefix,
		Peers:        r,
		Members:      r,
		Log:          log,
		PeerInterval: 5 * time.Millisecond,
		PollInterval: 20 * time.Millisecond,
	}
	r.source.Register()
	n.mu.Lock()
	n.routers[peridotusher.RouterID(name)] = r
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.source.Run(ctx) })
	r.stop = func() {
		n.mu.Lock()
		r.disconnected = true
		n.mu.Unlock()
		cancel()
		_ = group.Wait()
	}
	t.Cleanup(r.stop)
	return r
}

// setDisconnected removes a router's connections to the others or restores them.
func (n *testNetwork) setDisconnected(r *router, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.disconnected = disconnected
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %v", what, waitLimit)
		}
	}
}

func waitRevision(t *testing.T, want uint64, routers ...*router) {
	t.Helper()
	for _, r := range routers {
		waitFor(t, "revision at "+string(r.source.Self.ID()), func() bool { return r.source.Revision() == want })
	}
}

// unreadableStore is a store whose reads fail.
type unreadableStore struct {
	Store
}

func (unreadableStore) List(context.Context, string) ([]store.Entry, store.Revision, error) {
	return nil, 0, errDisconnected
}

func (unreadableStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, errDisconnected
}
