package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/store"
)

const (
	// minBucketWriteInterval is the minimum time between two writes of one bucket.
	// Changes that arrive in between are written together.
	minBucketWriteInterval = 20 * time.Millisecond
	// recordRetryTimeout bounds the time for which the write of an outcome or a
	// release is retried.
	recordRetryTimeout = time.Minute
	// claimFlushTimeout bounds the remaining writes after the router has stopped
	// serving.
	claimFlushTimeout = 3 * time.Second
	// maxIdleBuckets is the number of buckets in memory from which idle ones are
	// dropped.
	maxIdleBuckets = 512
)

// errNoWindow means that the router has no configuration yet.
var errNoWindow = errors.New("router does not know how long claims are kept")

// ClaimStore is the part of the store client that claims need.
type ClaimStore interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Swap, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error)
	// RewoundAt returns when a restore of the store from a backup was last detected.
	RewoundAt() time.Time
}

// claimPeers sends claim changes to the router that writes their bucket.
type claimPeers interface {
	ChangeClaims(ctx context.Context, to peridotusher.RouterID, bucket string, recent bool, changes []peridotusher.ClaimChange) ([]peridotusher.ClaimResult, error)
}

// claimTable batches changes of claims by bucket and writes them to the store.
//
// Each bucket has a writer: the router that ranks first in the rendezvous order
// for the bucket's name. The others forward their changes to it, so that one
// write contains many changes. That only saves writes: any router may write any
// bucket, because each write is a compare-and-swap.
type claimTable struct {
	Self    peridotusher.RouterID
	Members func() []peridotusher.Member
	Store   ClaimStore
	Peers   claimPeers
	Clock   peridotusher.Clock
	Log     logrus.FieldLogger
	Prefix  string
	Window  func() time.Duration

	once     sync.Once
	ended    chan struct{} // closed when Run ends
	writeCtx context.Context
	stop     context.CancelFunc
	group    errgroup.Group

	mu           sync.Mutex
	closed       bool // no new queue is started
	queues       map[string]*claimQueue
	skippedUntil map[peridotusher.RouterID]time.Time // until when a router is skipped as a writer
	lease        claimLease
	// lostAt is when this router last found that the buckets' lease or a bucket
	// write had vanished from the store.
	lostAt time.Time
}

// claimLease is the lease that buckets are written under.
type claimLease struct {
	id        store.LeaseID
	window    time.Duration
	grantedAt time.Time
}

// pendingChange is one change that waits to be written.
type pendingChange struct {
	ctx      context.Context // ends when the result is no longer waited for
	change   peridotusher.ClaimChange
	recent   bool
	remote   bool // forwarded by another router
	queuedAt time.Time
	done     chan changeReply
}

type changeReply struct {
	result peridotusher.ClaimResult
	err    error
}

func (t *claimTable) init() {
	t.ended = make(chan struct{})
	t.group.Go(func() error {
		<-t.ended
		return nil
	})
	t.writeCtx, t.stop = context.WithCancel(context.Background())
	t.queues = map[string]*claimQueue{}
	t.skippedUntil = map[peridotusher.RouterID]time.Time{}
}

// Run waits until ctx ends and the pending changes have been written, or
// claimFlushTimeout has passed.
func (t *claimTable) Run(ctx context.Context) error {
	t.once.Do(t.init)
	<-ctx.Done()
	t.close()
	close(t.ended)
	flushed := time.AfterFunc(claimFlushTimeout, t.stop)
	defer flushed.Stop()
	err := t.group.Wait()
	t.stop()
	return err
}

// close makes enqueue refuse changes, except for a queue that is still active.
func (t *claimTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Change makes one change and waits for its result until ctx ends. If ctx ends
// first, a claim is released again.
func (t *claimTable) Change(ctx context.Context, key peridotusher.ClaimKey, change peridotusher.ClaimChange) (peridotusher.ClaimResult, error) {
	p := t.newPendingChange(ctx, key.Recent(t.Clock.Now()), change)
	t.enqueue(key.Bucket(), p)
	select {
	case reply := <-p.done:
		return reply.result, reply.err
	case <-ctx.Done():
		if change.Action == peridotusher.ActionClaim {
			t.release(key.Bucket(), change)
		}
		return peridotusher.ClaimResult{}, claimUnavailable(ctx.Err())
	}
}

// ChangeClaims implements peer.ClaimHandler. It writes the changes that another
// router forwarded.
func (t *claimTable) ChangeClaims(ctx context.Context, bucket string, recent bool, changes []peridotusher.ClaimChange) ([]peridotusher.ClaimResult, error) {
	if t.Window() <= 0 {
		return nil, errNoWindow
	}
	pending := make([]*pendingChange, len(changes))
	for i, change := range changes {
		pending[i] = t.newPendingChange(ctx, recent, change)
		pending[i].remote = true
	}
	t.enqueue(bucket, pending...)
	results := make([]peridotusher.ClaimResult, len(changes))
	for i, p := range pending {
		select {
		case reply := <-p.done:
			if reply.err != nil {
				return nil, reply.err
			}
			results[i] = reply.result
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return results, nil
}

func (t *claimTable) newPendingChange(ctx context.Context, recent bool, change peridotusher.ClaimChange) *pendingChange {
	return &pendingChange{ctx: ctx, change: change, recent: recent, queuedAt: t.Clock.Now(), done: make(chan changeReply, 1)}
}

// release releases a claim that may have been written although its caller no
// longer waits for it.
func (t *claimTable) release(bucket string, claimed peridotusher.ClaimChange) {
	claimed.Action = peridotusher.ActionRelease
	t.enqueue(bucket, t.newPendingChange(context.Background(), false, claimed))
}

// enqueue adds changes to a bucket's queue and starts the queue if it is idle.
func (t *claimTable) enqueue(bucket string, pending ...*pendingChange) {
	t.once.Do(t.init)
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[bucket]
	if t.closed && (!ok || !q.active) {
		replyAll(pending, changeReply{err: claimUnavailable(errClosed)})
		return
	}
	if !ok {
		t.dropIdle()
		q = &claimQueue{table: t, name: bucket, wake: make(chan struct{}, 1)}
		t.queues[bucket] = q
	}
	q.pending = append(q.pending, pending...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	if q.active {
		return
	}
	q.active = true
	t.group.Go(func() error {
		q.run(t.writeCtx)
		return nil
	})
}

// dropIdle removes the idle queues once there are maxIdleBuckets queues.
func (t *claimTable) dropIdle() {
	if len(t.queues) < maxIdleBuckets {
		return
	}
	for name, q := range t.queues {
		if !q.active {
			delete(t.queues, name)
		}
	}
}

// writer returns the bucket's writer among the live routers that are not skipped.
func (t *claimTable) writer(bucket string) peridotusher.RouterID {
	now := t.Clock.Now()
	members := t.Members()
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []peridotusher.Weighted
	for _, m := range members {
		if m.State() == peridotusher.MemberLive && !now.Before(t.skippedUntil[m.ID()]) {
			live = append(live, peridotusher.Weighted{Name: string(m.ID()), Weight: 1})
		}
	}
	ranking := peridotusher.Rank(bucket, live)
	if len(ranking) == 0 {
		return t.Self
	}
	return peridotusher.RouterID(ranking[0])
}

// skipWriter excludes a router as a writer for writerSkipTime.
func (t *claimTable) skipWriter(id peridotusher.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skippedUntil[id] = t.Clock.Now().Add(writerSkipTime)
}

// currentLease returns the lease under which buckets are written. It expires after
// the keys in its buckets have ceased to be admissible.
func (t *claimTable) currentLease(ctx context.Context) (store.LeaseID, error) {
	const factor = 2 // allows the configured window to be doubled
	window := t.Window()
	now := t.Clock.Now()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	if lease.id != store.NoLease && lease.window == window && now.Sub(lease.grantedAt) < leaseUseTime {
		return lease.id, nil
	}
	id, _, err := t.Store.Grant(ctx, factor*window+2*leaseUseTime)
	if err != nil {
		return store.NoLease, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease = claimLease{id: id, window: window, grantedAt: now}
	return id, nil
}

// leaseLost records that the buckets' lease vanished long before its end, which
// means that the store was restored from a backup. The time is recorded unless the
// restore has been detected already. The next write gets another lease.
func (t *claimTable) leaseLost(id store.LeaseID) {
	detected := t.restoredAt()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease.id != id {
		return
	}
	if !detected.After(t.lease.grantedAt) {
		t.lostAt = t.Clock.Now()
	}
	t.lease = claimLease{}
}

// recordLostWrite records that a bucket write vanished from the store.
func (t *claimTable) recordLostWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostAt = t.Clock.Now()
}

// restoredAt returns when a restore of the store from a backup was last detected,
// by the store client or by this table.
func (t *claimTable) restoredAt() time.Time {
	reported := t.Store.RewoundAt()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostAt.After(reported) {
		return t.lostAt
	}
	return reported
}

// leaseUseTime is the time for which new writes use the same lease.
const leaseUseTime = 5 * time.Minute

// errClosed means that the router is stopping and writes no more claims.
var errClosed = errors.New("the router is stopping")

// claimUnavailable returns the Failure of a change that could not be written. Its
// verdict is MayHaveRun, because an earlier call with the key may have run: its
// claim could not be read either.
func claimUnavailable(err error) error {
	retryAfter := max(peridotusher.AsFailure(err).RetryAfter(), claimRetryAfter)
	return peridotusher.FailWith(peridotusher.MayHaveRun, peridotusher.CauseStoreDown, err).WithRetryAfter(retryAfter)
}
