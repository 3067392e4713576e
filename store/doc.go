// Package store is the client of the platform's key-value service. It uses
// the JSON gateway of the etcd v3 protocol: compare-and-swap transactions,
// leases and watches.
//
// Every failed call returns a *peridotusher.Failure. Its verdict is NotRun only
// if the request was never sent completely or the service refused it. If the
// answer to a write is lost, the verdict is MayHaveRun; the caller then reads the
// key to find out whether the write took effect. The HTTP transport replays no
// request.
//
// # Usage
//
//	client, cleanup, err := store.New(store.Config{Addresses: addresses})
//	if err != nil {
//		return err
//	}
//	defer cleanup()
//	entry, err := client.Get(ctx, "claims/7")
//	swap, err := client.CompareAndSwap(ctx, "claims/7", entry.Revision(), value, store.NoLease)
//
// To continue a watch that ended, pass the revision after the last one seen. If
// the service no longer has that history, Watch returns ErrCompacted or
// ErrRewound, and the caller lists the prefix again.
package store
