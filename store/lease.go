package store

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
)

// The following are wire types of leases.
type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type revokeMessage struct {
	ID int64 `json:"ID,string"`
}

type keepAliveResponse struct {
	Result leaseMessage `json:"result"`
}

// Grant creates a lease that ends after ttl, rounded up to seconds, unless it
// is kept alive. It returns the time that the service granted. A holder has to
// count that time from before the call.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer leaseMessage
	err := c.call(ctx, request{"/v3/lease/grant", leaseMessage{TTL: seconds}, false, &c.counts.lease}, &answer)
	if err != nil {
		return NoLease, 0, err
	}
	return LeaseID(answer.ID), time.Duration(answer.TTL) * time.Second, nil
}

// KeepAlive starts the lease's time anew and returns that time. It fails with
// ErrLeaseGone if the lease has ended.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var answer keepAliveResponse
	err := c.call(ctx, request{"/v3/lease/keepalive", revokeMessage{int64(lease)}, true, &c.counts.lease}, &answer)
	if err != nil {
		return 0, err
	}
	if answer.Result.TTL <= 0 {
		return 0, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, ErrLeaseGone)
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke ends the lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	var answer struct{}
	return c.call(ctx, request{"/v3/lease/revoke", revokeMessage{int64(lease)}, true, &c.counts.lease}, &answer)
}
