// Package replicas holds a router's view of the replicas of all services: which of them
// are ready, the load of each, and which are ejected, unreachable or in back-off.
//
// Entries are read from the platform's store and received from other routers. Of two
// entries for one replica the one with the higher revision wins, so entries may arrive in
// any order and more than once. A store that is restored from a backup begins a new epoch,
// in which revisions continue from those of the backup. Entries of different epochs are
// therefore ordered by whether they were written after the restore and by what the replica
// itself reported. Evacuations of zones are ordered by epoch, then by revision; replicas of
// an evacuated zone get no requests but otherwise keep their state.
//
// A replica's load is the router's own exact count plus the counts that other routers
// publish; in a large fleet it is what the replica reports in its answers. The latest pace
// (slowdown factor) that a replica reports is used for a fraction of a second; after that
// the replica's mean pace is used.
//
// # Usage
//
//	table := replicas.NewTable(clock)
//	table.MergeSnapshot(position, entries, false)
//	for _, r := range table.Ready("chat") {
//		fmt.Println(r.ID(), r.Load())
//	}
//
// # Lock order
//
// Table, then Replica. Neither lock is held across a call to a peer.
package replicas
