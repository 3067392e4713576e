// Package config keeps the configuration document in the platform's store and
// brings it to every router.
//
// The store holds each section with its owner and version, grouped in pages by
// a hash of the header, and one head. An edit is checked against the whole
// document and accepted by one compare-and-swap of the head; the pages that it
// changes are written in the same transaction. The head's revision is the
// document's own: it rises by one with each accepted edit, so that a store that
// was set back to an older state is recognised.
//
// In each availability zone a few routers watch the store. The others learn of
// a change from their peers, and a router asks a peer that has a higher
// revision for what it lacks. No router goes back to a lower revision.
//
// # Usage
//
// Operators edit:
//
//	editor := &config.Editor{Store: client, Prefix: "peridotusher/", Clock: clock}
//	accepted, err := editor.Apply(ctx, config.Credentials{Team: "athina", Key: key}, edits)
//	var conflict *config.ConflictError
//	if errors.As(err, &conflict) {
//		// both versions of each section in conflict
//	}
//
// Routers follow:
//
//	source := &config.Source{Store: client, Prefix: "peridotusher/", Peers: node, Members: members}
//	source.Register()
//	group.Go(func() error { return source.Run(ctx) })
//	doc := source.Document()
package config
