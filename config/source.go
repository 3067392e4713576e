package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/peer"
	"peridotusher.example/peridotusher/store"
)

// The defaults of a Source's fields.
const (
	defaultPeerInterval  = 200 * time.Millisecond
	defaultPollInterval  = time.Second
	defaultAuditInterval = 30 * time.Second
	defaultTimeout       = 2 * time.Second
	// watchersPerZone is the number of routers in each zone that watch the store.
	watchersPerZone = 2
)

// Store is the part of the platform's key-value service that a Source needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	Watch(ctx context.Context, prefix string, from store.Revision, fn func(store.Event) error) error
}

// Peers is the part of the connections to other routers that a Source needs.
type Peers interface {
	Handle(kind peer.Kind, h peer.HandlerFunc)
	PeerStates() map[peridotusher.RouterID]peer.ReportedState
	Call(ctx context.Context, to peridotusher.RouterID, kind peer.Kind, msg, reply proto.Message) error
	Notify(ctx context.Context, to peridotusher.RouterID, kind peer.Kind, msg proto.Message) error
}

// Members is the part of the table of routers that a Source needs.
type Members interface {
	Live(zone peridotusher.Zone) []peridotusher.Member
}

// Source holds the newest accepted document on one router and keeps it up to
// date. Its fields are set before Register; Self, Store, Peers and Members are
// required.
type Source struct {
	Self          peridotusher.Member
	Store         Store
	Prefix        string // prefix of the store's keys
	Peers         Peers
	Members       Members
	OnAdopt       func(*document.Document) // called with each document that is put in force
	OnAlarm       func(Alarm)              // called when an alarm begins
	Log           logrus.FieldLogger       // nil logs to the standard logger
	Clock         peridotusher.Clock       // nil uses time.Now
	PeerInterval  time.Duration            // time between two checks of the peers' revisions
	PollInterval  time.Duration            // time between two reads of the head on a router that watches the store
	AuditInterval time.Duration            // mean time between two reads of the head on any other router
	Timeout       time.Duration            // limit of one call to the store or to a peer
	Rand          func() float64           // random numbers in [0, 1); math/rand/v2 when nil

	current       atomic.Pointer[Snapshot]
	pushRequested chan struct{} // holds one token while a new snapshot waits to be pushed to peers

	mu     sync.Mutex
	status Status
}

// Register sets the defaults and adds the handlers of the messages between
// routers. It is called before the connections to the peers run.
func (s *Source) Register() {
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	if s.Clock == nil {
		s.Clock = peridotusher.ClockFunc(time.Now)
	}
	if s.Rand == nil {
		s.Rand = rand.Float64
	}
	setDefault(&s.PeerInterval, defaultPeerInterval)
	setDefault(&s.PollInterval, defaultPollInterval)
	setDefault(&s.AuditInterval, defaultAuditInterval)
	setDefault(&s.Timeout, defaultTimeout)
	s.pushRequested = make(chan struct{}, 1)
	s.Peers.Handle(peer.KindDelta, s.handleDelta)
	s.Peers.Handle(peer.KindFetch, s.handleFetch)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Run keeps the document up to date from the store and the peers until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.followStore(ctx) })
	group.Go(func() error { return s.followPeers(ctx) })
	return group.Wait()
}

// Document returns the document in force, nil before there is one.
func (s *Source) Document() *document.Document {
	if snap := s.current.Load(); snap != nil {
		return snap.doc
	}
	return nil
}

// Revision returns the revision in force, zero before there is one.
func (s *Source) Revision() uint64 { return s.current.Load().Revision() }
