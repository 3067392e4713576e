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

type leaseIDMessage struct {
	ID int64 `json:"ID,string"`
}

type keepAliveResponse struct {
	Result leaseMessage `json:"result"`
}

// Grant creates a lease that ends after ttl, rounded up to seconds, unless it
// is kept alive. It returns the duration that the service granted. The holder
// must assume that the lease began before the call: the answer takes time to arrive.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer leaseMessage
	err := c.call(ctx, request{"/v3/lease/grant", leaseMessage{TTL: seconds}, false, &c.counts.lease}, &answer)
	if err != nil {
		return NoLease, 0, err
	}
	return LeaseID(answer.ID), time.Duration(answer.TTL) * time.Second, nil
}

// KeepAlive renews the lease for its full duration and returns that duration. It
// fails with ErrLeaseNotFound if the lease has ended.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var answer keepAliveResponse
	err := c.call(ctx, request{"/v3/lease/keepalive", leaseIDMessage{int64(lease)}, true, &c.counts.lease}, &answer)
	if err != nil {
		return 0, err
	}
	if answer.Result.TTL <= 0 {
		return 0, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, ErrLeaseNotFound)
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke ends the lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	var answer struct{}
	return c.call(ctx, request{"/v3/lease/revoke", leaseIDMessage{int64(lease)}, true, &c.counts.lease}, &answer)
}
