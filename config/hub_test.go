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

var errCut = errors.New("no link")

// hub connects the sources of a test. It stands for the connections between
// routers and for their tables of members.
type hub struct {
	mu      sync.Mutex
	routers map[peridotusher.RouterID]*router
}

// router is one source with its connections.
type router struct {
	hub      *hub
	source   *Source
	handlers map[peer.Kind]peer.HandlerFunc
	cut      bool
	stop     context.CancelFunc
}

func (r *router) Handle(kind peer.Kind, h peer.HandlerFunc) { r.handlers[kind] = h }

func (r *router) PeerStates() map[peridotusher.RouterID]peer.ReportedState {
	views := map[peridotusher.RouterID]peer.ReportedState{}
	for _, other := range r.hub.reachable(r) {
		views[other.source.Self.ID()] = peer.ReportedState{Revision: other.source.Revision()}
	}
	delete(views, r.source.Self.ID())
	return views
}

func (r *router) Live(zone peridotusher.Zone) []peridotusher.Member {
	var live []peridotusher.Member
	for _, other := range r.hub.reachable(r) {
		if other.source.Self.Zone() == zone {
			live = append(live, other.source.Self)
		}
	}
	return live
}

func (r *router) Call(ctx context.Context, to peridotusher.RouterID, kind peer.Kind, msg, reply proto.Message) error {
	for _, other := range r.hub.reachable(r) {
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
	return errCut
}

func (r *router) Notify(ctx context.Context, to peridotusher.RouterID, kind peer.Kind, msg proto.Message) error {
	return r.Call(ctx, to, kind, msg, nil)
}

// reachable returns the routers that r hears, itself included.
func (h *hub) reachable(r *router) []*router {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.cut {
		return []*router{r}
	}
	var list []*router
	for _, id := range slices.Sorted(maps.Keys(h.routers)) {
		if other := h.routers[id]; !other.cut {
			list = append(list, other)
		}
	}
	return list
}

// add runs a source on the store.
func (h *hub) add(t *testing.T, name string, client Store) *router {
	t.Helper()
	r := &router{hub: h, handlers: map[peer.Kind]peer.HandlerFunc{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.source = &Source{
		Self:     peridotusher.NewMember(peridotusher.RouterID(name), "a", name, 1).WithState(peridotusher.MemberLive),
		Store:    client,
		Prefix:   testPrefix,
		Peers:    r,
		Members:  r,
		Log:      log,
		Interval: 5 * time.Millisecond,
		Poll:     20 * time.Millisecond,
	}
	r.source.Register()
	h.mu.Lock()
	h.routers[peridotusher.RouterID(name)] = r
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.source.Run(ctx) })
	r.stop = func() {
		h.mu.Lock()
		r.cut = true
		h.mu.Unlock()
		cancel()
		_ = group.Wait()
	}
	t.Cleanup(r.stop)
	return r
}

// setCut cuts a router off from the others.
func (h *hub) setCut(r *router, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.cut = cut
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

// cutStore is a store that does not answer reads.
type cutStore struct {
	Store
}

func (cutStore) List(context.Context, string) ([]store.Entry, store.Revision, error) {
	return nil, 0, errCut
}

func (cutStore) Get(context.Context, string) (store.Entry, error) { return store.Entry{}, errCut }
