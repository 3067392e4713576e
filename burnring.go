package peridotusher

import "time"

// The widths and numbers of buckets of a series. One bucket more than the longest
// window needs holds the running, incomplete interval.
const (
	shortBucketWidth = time.Minute
	shortBuckets     = 61
	longBucketWidth  = 5 * time.Minute
	longBuckets      = 73
)

// burnRing is a ring buffer of counts in time buckets of equal width.
type burnRing struct {
	width   time.Duration
	buckets []BurnCount
	newest  int64 // number of the newest bucket, counted from the Unix epoch
}

func newBurnRing(width time.Duration, n int) burnRing {
	return burnRing{width: width, buckets: make([]BurnCount, n)}
}

// bucketNumber returns the number of the bucket that contains the time.
func (r *burnRing) bucketNumber(at time.Time) int64 {
	return at.UnixNano() / int64(r.width)
}

// add adds the counts to the current bucket.
func (r *burnRing) add(now time.Time, c BurnCount) {
	r.advance(now)
	b := &r.buckets[r.index(r.newest)]
	*b = b.Add(c)
}

// advance clears the buckets between the newest and the current one.
func (r *burnRing) advance(now time.Time) {
	to := r.bucketNumber(now)
	from := max(r.newest+1, to-int64(len(r.buckets))+1)
	for n := from; n <= to; n++ {
		r.buckets[r.index(n)] = BurnCount{}
	}
	r.newest = max(r.newest, to)
}

// index returns the position of a bucket in the ring. Bucket numbers may be negative,
// because a clock may count from the host's start.
func (r *burnRing) index(n int64) int {
	size := int64(len(r.buckets))
	return int((n%size + size) % size)
}

// sum adds up the buckets of the window that ends now, including the incomplete current one.
func (r *burnRing) sum(now time.Time, window time.Duration) BurnCount {
	r.advance(now)
	var sum BurnCount
	n := min(int64(window/r.width), int64(len(r.buckets)-1))
	for i := r.newest - n; i <= r.newest; i++ {
		sum = sum.Add(r.buckets[r.index(i)])
	}
	return sum
}

// history returns the buckets, oldest first.
func (r *burnRing) history(now time.Time) []BurnCount {
	r.advance(now)
	all := make([]BurnCount, 0, len(r.buckets))
	for i := r.newest - int64(len(r.buckets)) + 1; i <= r.newest; i++ {
		all = append(all, r.buckets[r.index(i)])
	}
	return all
}
