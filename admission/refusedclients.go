package admission

import (
	"container/list"
	"slices"
	"time"
)

const (
	// maxRefusedClients bounds the remembered clients; the oldest are removed first.
	maxRefusedClients = 4096
	// retryWindow is how long after its retry time a client that retries is preferred.
	retryWindow = time.Second
	// retryShareWeight is the weight of the latest client in the share of clients that retry.
	// Clients of one organisation mostly use one library and so behave alike.
	retryShareWeight = 1.0 / 32
)

// refusedClient is a refused client with the time at which it may retry.
type refusedClient struct {
	fingerprint  uint64
	refusalOrder uint64 // position of its first refusal in the order of all
	retryAt      time.Time
	bucket       *bucket
}

// refusedClients remembers refused clients until retryWindow after their retry time. Clients
// that honour the retry-after time go before new requests and before clients that retry at once.
type refusedClients struct {
	byFingerprint map[uint64]*list.Element
	order         *list.List // of *refusedClient, the oldest first
	refusals      uint64
}

func newRefusedClients() refusedClients {
	return refusedClients{byFingerprint: map[uint64]*list.Element{}, order: list.New()}
}

// find returns the refused client with the fingerprint, nil if there is none or its retryWindow
// is over.
func (t *refusedClients) find(fingerprint uint64, now time.Time) *refusedClient {
	el, ok := t.byFingerprint[fingerprint]
	if !ok {
		return nil
	}
	c := el.Value.(*refusedClient)
	if now.After(c.retryAt.Add(retryWindow)) {
		t.recordOutcome(c, false)
		return nil
	}
	return c
}

// add remembers a refused client.
func (t *refusedClients) add(c *refusedClient) {
	if len(t.byFingerprint) >= maxRefusedClients {
		t.remove(t.order.Front().Value.(*refusedClient))
	}
	t.byFingerprint[c.fingerprint] = t.order.PushBack(c)
	c.bucket.retryTimes = append(c.bucket.retryTimes, c.retryAt)
}

// recordOutcome removes a client whose retry time has passed, and records whether it retried.
func (t *refusedClients) recordOutcome(c *refusedClient, retried bool) {
	sample := 0.0
	if retried {
		sample = 1
	}
	c.bucket.retryShare += retryShareWeight * (sample - c.bucket.retryShare)
	t.remove(c)
}

// remove removes a client.
func (t *refusedClients) remove(c *refusedClient) {
	el, ok := t.byFingerprint[c.fingerprint]
	if !ok {
		return
	}
	t.order.Remove(el)
	delete(t.byFingerprint, c.fingerprint)
	b := c.bucket
	i, _ := slices.BinarySearchFunc(b.retryTimes, c.retryAt, time.Time.Compare)
	b.retryTimes = slices.Delete(b.retryTimes, i, i+1)
}

// expire removes the clients that did not retry within retryWindow.
func (t *refusedClients) expire(now time.Time) {
	for el := t.order.Front(); el != nil; {
		c := el.Value.(*refusedClient)
		el = el.Next()
		if now.After(c.retryAt.Add(retryWindow)) {
			t.recordOutcome(c, false)
		}
	}
}

// expectedRetries returns how many of the refused clients of the bucket are expected to retry.
func (b *bucket) expectedRetries() float64 { return float64(len(b.retryTimes)) * b.retryShare }

// expectedRetriesBy returns how many of the refused clients of the bucket are expected to retry
// until a time.
func (b *bucket) expectedRetriesBy(at time.Time) float64 {
	n, _ := slices.BinarySearchFunc(b.retryTimes, at, time.Time.Compare)
	return float64(n) * b.retryShare
}

// identifyRetry recognises the request of a refused client. If the client retried too early, it
// returns the time left until its retry time. Several clients may send the same request, so an
// early retry is not refused for that alone: it goes after all other requests of its bucket.
func (q *Queue) identifyRetry(e *entry, now time.Time) (untilRetry time.Duration) {
	if e.Fingerprint == 0 {
		return 0
	}
	c := q.refused.find(e.Fingerprint, now)
	if c == nil {
		return 0
	}
	if now.Before(c.retryAt) {
		q.stats.RetriedEarly++
		e.retriedEarly = true
		return c.retryAt.Sub(now)
	}
	e.isRetry = true
	q.stats.RetriedOnTime++
	e.refusalOrder = c.refusalOrder
	q.refused.recordOutcome(c, true)
	return 0
}

// rememberRefusal remembers the retry-after time of a refused client. A client that had retried on
// time keeps the order of its first refusal.
func (q *Queue) rememberRefusal(e *entry, after time.Duration, now time.Time) {
	if e.Fingerprint == 0 {
		return
	}
	if c := q.refused.find(e.Fingerprint, now); c != nil {
		q.refused.remove(c)
	}
	if e.refusalOrder == 0 {
		q.refused.refusals++
		e.refusalOrder = q.refused.refusals
	}
	q.refused.add(&refusedClient{
		fingerprint: e.Fingerprint, refusalOrder: e.refusalOrder, retryAt: now.Add(after), bucket: e.bucket,
	})
}
