package store

import "context"

// Revision numbers the states of the complete store. It rises with every write.
type Revision int64

// LeaseID identifies a lease. The service deletes the keys attached to a lease
// when it ends.
type LeaseID int64

// NoLease stands for keys that are attached to no lease.
const NoLease LeaseID = 0

// Entry is one key with its value, as it was read.
type Entry struct {
	key      string
	value    []byte
	revision Revision
	lease    LeaseID
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value, which the caller must not change.
func (e Entry) Value() []byte { return e.value }

// Revision returns the revision of the key's last write, or 0 if it does not exist.
func (e Entry) Revision() Revision { return e.revision }

// Lease returns the lease that the key is attached to, or NoLease.
func (e Entry) Lease() LeaseID { return e.lease }

// Exists reports whether the key exists.
func (e Entry) Exists() bool { return e.revision != 0 }

// keyValue, header, rangeRequest and rangeResponse are wire types.
type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

// entry converts the wire type to an Entry.
func (kv keyValue) entry() Entry {
	return Entry{string(kv.Key), kv.Value, Revision(kv.ModRevision), LeaseID(kv.Lease)}
}

// entryOf returns the Entry of the only key that was asked for. Its Exists is
// false if the answer does not hold the key.
func (r rangeResponse) entryOf(key string) Entry {
	if len(r.KVs) == 0 {
		return Entry{key: key}
	}
	return r.KVs[0].entry()
}

// Get reads one key. A missing key is not an error.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var answer rangeResponse
	message := rangeRequest{Key: []byte(key)}
	err := c.call(ctx, request{"/v3/kv/range", message, true, &c.counts.get}, &answer)
	if err != nil {
		return Entry{}, err
	}
	c.revisions.recordRead(answer.Header.Revision)
	return answer.entryOf(key), nil
}

// List reads all keys with the prefix, sorted, and the store's revision. A watch
// that begins at the following revision misses no change.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	var answer rangeResponse
	message := rangeRequest{Key: prefixStart(prefix), RangeEnd: prefixEnd(prefix)}
	err := c.call(ctx, request{"/v3/kv/range", message, true, &c.counts.list}, &answer)
	if err != nil {
		return nil, 0, err
	}
	c.revisions.recordRead(answer.Header.Revision)
	entries := make([]Entry, 0, len(answer.KVs))
	for _, kv := range answer.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, Revision(answer.Header.Revision), nil
}

// prefixStart returns the first key of the prefix's range; a zero byte stands
// for the first of all keys.
func prefixStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// prefixEnd returns the first key after the prefix's range; a zero byte stands
// for the end of all keys.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
