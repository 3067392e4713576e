// Package store is the client of the platform's key-value service. It speaks
// the JSON gateway of the etcd v3 protocol: compare-and-swap transactions,
// leases and watches.
//
// Every failed call is a *peridotusher.Failure. Its verdict is NotRun only if
// the request was never sent whole or the service refused it. When a write's
// answer is lost the verdict is MayHaveRun; the caller settles it by reading
// the key back. No request is replayed by the HTTP transport.
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
// A watch continues where it ended: pass the revision after the last one seen.
// When the history is gone, Watch returns ErrCompacted or ErrRewound and the
// caller lists the prefix again.
package store
