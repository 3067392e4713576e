package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/store"
)

const (
	// writerTimeout bounds the wait for a bucket's writer, another router, to write it.
	writerTimeout = 500 * time.Millisecond
	// writerSkipTime is the time for which a writer that did not respond is skipped.
	writerSkipTime = 2 * time.Second
	// bucketTimeout bounds the write of a bucket by this router.
	bucketTimeout = 3 * time.Second
	// maxBatchBytes bounds the changes of one write.
	maxBatchBytes = 512 << 10
	// maxBucketAttempts bounds the compare-and-swap attempts of one write.
	maxBucketAttempts = 8
	// claimRetryAfter is the minimum Retry-After sent to a client whose claim could
	// not be written.
	claimRetryAfter = time.Second
	// recordRetryInterval is the delay between two attempts to write an outcome or a
	// release.
	recordRetryInterval = 250 * time.Millisecond
)

// errContended means that other routers changed the bucket before each of this
// router's attempts to write it.
var errContended = errors.New("claims are written by too many routers at once")

// claimQueue holds the pending changes of one bucket. The table's mu guards
// pending and active; the other fields belong to the goroutine that runs the queue.
type claimQueue struct {
	table   *claimTable
	name    string
	wake    chan struct{}
	pending []*pendingChange
	active  bool

	bucket       peridotusher.ClaimBucket
	revision     store.Revision
	known        bool // bucket and revision are what was last read or written
	batchStarted time.Time
	lastWritten  time.Time // when this router last wrote the bucket
}

// run writes batches until no change is pending.
func (q *claimQueue) run(ctx context.Context) {
	for {
		pause.For(ctx, q.batchStarted.Add(minBucketWriteInterval).Sub(q.table.Clock.Now()))
		q.batchStarted = q.table.Clock.Now()
		batch := q.takeBatch()
		if len(batch) == 0 {
			return
		}
		if ctx.Err() != nil {
			replyAll(batch, changeReply{err: claimUnavailable(ctx.Err())})
			continue
		}
		retry := q.process(ctx, batch)
		if len(retry) > 0 {
			q.retryLater(ctx, retry)
		}
	}
}

// takeBatch removes and returns the next batch. It marks the queue as idle if
// there is none.
func (q *claimQueue) takeBatch() []*pendingChange {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	size, n := 0, 0
	for n < len(q.pending) && size < maxBatchBytes {
		if outcome := q.pending[n].change.Claim.Outcome; outcome != nil {
			size += len(outcome.Body)
		}
		n++
	}
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	q.active = n > 0
	return batch
}

// retryLater waits for recordRetryInterval, or until another change arrives, and
// puts the changes back into the queue.
func (q *claimQueue) retryLater(ctx context.Context, retry []*pendingChange) {
	select {
	case <-q.wake:
	default:
	}
	timer := time.NewTimer(recordRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-q.wake:
	case <-ctx.Done():
	}
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	q.pending = append(q.pending, retry...)
}

// process writes a batch through the bucket's writer, or directly if that fails.
// It returns the changes to retry.
func (q *claimQueue) process(ctx context.Context, batch []*pendingChange) []*pendingChange {
	batch = withoutAbandoned(batch)
	if len(batch) == 0 {
		return nil
	}
	results, err := q.forward(ctx, batch)
	if err != nil {
		results, err = q.write(ctx, changesOf(batch), allRecent(batch))
	}
	if err == nil {
		for i, p := range batch {
			p.done <- changeReply{result: results[i]}
		}
		return nil
	}
	return q.failBatch(batch, err)
}

// errWriteLocally means that this router has to write the bucket itself.
var errWriteLocally = errors.New("this router writes the bucket")

// forward sends a batch to the bucket's writer. It returns errWriteLocally if that
// is this router, or if a change was forwarded to this router.
func (q *claimQueue) forward(ctx context.Context, batch []*pendingChange) ([]peridotusher.ClaimResult, error) {
	writer := q.table.writer(q.name)
	if writer == q.table.Self {
		return nil, errWriteLocally
	}
	for _, p := range batch {
		if p.remote {
			return nil, errWriteLocally
		}
	}
	q.known = false
	ctx, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	results, err := q.table.Peers.ChangeClaims(ctx, writer, q.name, allRecent(batch), changesOf(batch))
	if err != nil {
		q.table.skipWriter(writer)
	}
	return results, err
}

// failBatch fails the claims of a batch whose write failed, and returns the changes
// to retry: outcomes and releases, and a release for each claim, because the claim
// may have been written despite the error. Changes from other routers are failed
// without a retry.
func (q *claimQueue) failBatch(batch []*pendingChange, err error) []*pendingChange {
	q.known = false
	now := q.table.Clock.Now()
	var retry []*pendingChange
	for _, p := range batch {
		if p.remote {
			p.done <- changeReply{err: claimUnavailable(err)}
			continue
		}
		if p.change.Action == peridotusher.ActionClaim {
			p.done <- changeReply{err: claimUnavailable(err)}
			release := p.change
			release.Action = peridotusher.ActionRelease
			retry = append(retry, q.table.newPendingChange(context.Background(), false, release))
			continue
		}
		if now.Sub(p.queuedAt) < recordRetryTimeout {
			retry = append(retry, p)
			continue
		}
		p.done <- changeReply{err: claimUnavailable(err)}
	}
	return retry
}

// write applies the changes to the bucket and writes it to the store by
// compare-and-swap. If the store's response is lost, the bucket is read back to
// find out whether it was written.
func (q *claimQueue) write(ctx context.Context, changes []peridotusher.ClaimChange, recent bool) ([]peridotusher.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, bucketTimeout)
	defer cancel()
	confirmed := false // the bucket was read or swapped by this call
	restored := q.table.restoredAt()
	if !q.known && recent {
		q.bucket, q.revision, q.known = peridotusher.ClaimBucket{}, 0, true
	}
	for range maxBucketAttempts {
		if !q.known {
			if err := q.read(ctx); err != nil {
				return nil, err
			}
			confirmed = true
		}
		next, results, changed := q.bucket.Apply(q.markDoubted(changes), q.table.Clock.Now(), q.table.Window())
		if !changed && confirmed {
			return withFence(results, q.revision), nil
		}
		if !changed {
			q.known = false
			continue
		}
		swapped, err := q.swap(ctx, next)
		if err != nil {
			return nil, err
		}
		if swapped && q.table.restoredAt().After(restored) {
			// The bucket was assumed to be new, but the restore may have lost it.
			results = withClaimsDoubted(changes, results)
		}
		if swapped {
			return withFence(results, q.revision), nil
		}
		confirmed = q.known
	}
	return nil, errContended
}

// withClaimsDoubted returns the results with every claim that was done turned into
// a doubted one. These claims stay in the bucket, and their calls are not run.
func withClaimsDoubted(changes []peridotusher.ClaimChange, results []peridotusher.ClaimResult) []peridotusher.ClaimResult {
	out := slices.Clone(results)
	for i, change := range changes {
		if change.Action == peridotusher.ActionClaim && out[i].Done {
			out[i] = peridotusher.ClaimResult{Present: change.Claim.PossiblyLost()}
		}
	}
	return out
}

// markDoubted marks changes as doubted if a restore of the store may have lost an
// earlier claim of their keys. The store no longer knows of that claim, but its
// call may have run.
func (q *claimQueue) markDoubted(changes []peridotusher.ClaimChange) []peridotusher.ClaimChange {
	restored := q.table.restoredAt()
	if restored.IsZero() || q.table.Clock.Now().Sub(restored) > q.table.Window() || !peridotusher.ClaimPossiblyLost(q.name, restored) {
		return changes
	}
	out := slices.Clone(changes)
	for i := range out {
		out[i].PossiblyLost = true
	}
	return out
}

// read loads the bucket from the store.
func (q *claimQueue) read(ctx context.Context) error {
	entry, err := q.table.Store.Get(ctx, q.key())
	if err != nil {
		return err
	}
	return q.loadEntry(entry)
}

// swap writes the next bucket by compare-and-swap and returns whether it was
// written. After a conflict, the queue holds the bucket that the store has; after a
// lost response, known is false.
func (q *claimQueue) swap(ctx context.Context, next peridotusher.ClaimBucket) (bool, error) {
	value, err := next.Encode()
	if err != nil {
		return false, err
	}
	lease, err := q.table.currentLease(ctx)
	if err != nil {
		return false, err
	}
	swap, err := q.table.Store.CompareAndSwap(ctx, q.key(), q.revision, value, lease)
	if err != nil {
		q.known = false
		if errors.Is(err, store.ErrLeaseNotFound) {
			q.table.leaseLost(lease)
			return false, nil
		}
		if peridotusher.AsFailure(err).Verdict() == peridotusher.NotRun {
			return false, err
		}
		return false, nil
	}
	if !swap.Swapped() {
		return false, q.loadEntry(swap.Current())
	}
	q.bucket, q.revision, q.lastWritten = next, swap.Revision(), q.table.Clock.Now()
	return true, nil
}

// loadEntry decodes a stored entry and makes it the queue's bucket.
func (q *claimQueue) loadEntry(entry store.Entry) error {
	bucket, err := peridotusher.DecodeClaimBucket(entry.Value())
	if err != nil {
		q.known = false
		return err
	}
	if entry.Revision() < q.revision && q.table.Clock.Now().Sub(q.lastWritten) < q.table.Window() {
		q.table.recordLostWrite() // the last write vanished long before its lease ends
	}
	q.bucket, q.revision, q.known = bucket, entry.Revision(), true
	return nil
}

func (q *claimQueue) key() string { return q.table.Prefix + "claims/" + q.name }

// withoutAbandoned returns the batch without the claims whose callers no longer
// wait, which it fails.
func withoutAbandoned(batch []*pendingChange) []*pendingChange {
	var remaining []*pendingChange
	for _, p := range batch {
		if p.change.Action == peridotusher.ActionClaim && p.ctx.Err() != nil {
			p.done <- changeReply{err: claimUnavailable(p.ctx.Err())}
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

func changesOf(batch []*pendingChange) []peridotusher.ClaimChange {
	changes := make([]peridotusher.ClaimChange, len(batch))
	for i, p := range batch {
		changes[i] = p.change
	}
	return changes
}

// allRecent returns whether all changes are of recently issued keys, so that the
// bucket may not exist yet.
func allRecent(batch []*pendingChange) bool {
	for _, p := range batch {
		if !p.recent {
			return false
		}
	}
	return true
}

func withFence(results []peridotusher.ClaimResult, revision store.Revision) []peridotusher.ClaimResult {
	for i := range results {
		results[i].Fence = uint64(revision)
	}
	return results
}

func replyAll(batch []*pendingChange, reply changeReply) {
	for _, p := range batch {
		p.done <- reply
	}
}
