package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Compare is the condition that the key was last written at the revision.
// Revision 0 means that the key does not exist.
type Compare struct {
	Key      string
	Revision Revision
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Swap is the outcome of a compare-and-swap.
type Swap struct {
	swapped  bool
	revision Revision
	entries  []Entry
}

// Swapped reports whether the writes took effect.
func (s Swap) Swapped() bool { return s.swapped }

// Revision returns the store's revision after the transaction; if it swapped,
// that is the revision of the written keys.
func (s Swap) Revision() Revision { return s.revision }

// Current returns the first compared key's entry if nothing was swapped.
func (s Swap) Current() Entry {
	if len(s.entries) == 0 {
		return Entry{}
	}
	return s.entries[0]
}

// Entries returns the compared keys' entries, in the order of the compares, if
// nothing was swapped.
func (s Swap) Entries() []Entry { return s.entries }

// The following are wire types of a transaction.
type compareMessage struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putMessage struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type operation struct {
	Put    *putMessage   `json:"request_put,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compareMessage `json:"compare"`
	Success []operation      `json:"success"`
	Failure []operation      `json:"failure"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range rangeResponse `json:"response_range"`
	} `json:"responses"`
}

// CompareAndSwap writes the key if it was last written at revision expect; 0
// means that it must not exist.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Swap, error) {
	return c.CompareAndSwapMany(ctx, []Compare{{key, expect}}, []Put{{key, value, lease}})
}

// CompareAndSwapMany makes all writes if all conditions hold, otherwise none.
func (c *Client) CompareAndSwapMany(ctx context.Context, compares []Compare, puts []Put) (Swap, error) {
	var success []operation
	for _, p := range puts {
		success = append(success, operation{Put: &putMessage{[]byte(p.Key), p.Value, int64(p.Lease)}})
	}
	return c.txn(ctx, compares, success, &c.counts.swap)
}

// Delete deletes the key if it was last written at revision expect.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) (Swap, error) {
	success := []operation{{Delete: &rangeRequest{Key: []byte(key)}}}
	return c.txn(ctx, []Compare{{key, expect}}, success, &c.counts.delete)
}

// txn runs the operations if all conditions hold, and otherwise reads the compared keys.
func (c *Client) txn(ctx context.Context, compares []Compare, success []operation, count *atomic.Int64) (Swap, error) {
	message := txnRequest{Success: success}
	for _, cmp := range compares {
		key := []byte(cmp.Key)
		message.Compare = append(message.Compare, compareMessage{"MOD", "EQUAL", key, int64(cmp.Revision)})
		message.Failure = append(message.Failure, operation{Range: &rangeRequest{Key: key}})
	}
	var answer txnResponse
	before := c.revisions.highestSeen()
	err := c.call(ctx, request{"/v3/kv/txn", message, false, count}, &answer)
	if err != nil {
		return Swap{}, err
	}
	c.revisions.recordTransaction(time.Now(), before, answer.Header.Revision, answer.Succeeded)
	swap := Swap{swapped: answer.Succeeded, revision: Revision(answer.Header.Revision)}
	if swap.swapped {
		return swap, nil
	}
	for i, r := range answer.Responses {
		if i < len(compares) {
			swap.entries = append(swap.entries, r.Range.entryOf(compares[i].Key))
		}
	}
	return swap, nil
}
