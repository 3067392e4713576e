// Package config stores the configuration document in the platform's key-value
// service and distributes it to every router.
//
// The store holds each section with the team that last changed it and its
// version. Sections are grouped in pages by a hash of their header. One more key,
// the head, names the current revision, the hash of all sections and the
// generation, which is a part of the pages' keys. An edit is checked against the
// complete document and accepted by one compare-and-swap of the head. The pages
// that it changes are written in the same transaction or, if they are too large
// for one, under the keys of a new generation before it. The revision belongs to
// the document and not to the store: it rises by one with each accepted edit, or by
// more with Editor.Replace, so that a store that was reset to an older state, for
// example from a backup, is detected.
//
// In each availability zone a few routers, the watchers, watch the store. They
// push each change to the other routers, which push it on. A router that learns
// from a heartbeat that a peer has a higher revision fetches the missing changes
// from it. The snapshot in force is the one that a router uses; a router never
// replaces it by one with a lower revision.
//
// # Usage
//
// An operator's tool edits the document:
//
//	editor := &config.Editor{Store: client, Prefix: "peridotusher/", Clock: clock}
//	accepted, err := editor.Apply(ctx, config.Credentials{Team: "athina", Key: key}, edits)
//	var conflict *config.ConflictError
//	if errors.As(err, &conflict) {
//		// conflict.Conflicts() has both versions of each section
//	}
//
// A router keeps its copy up to date:
//
//	source := &config.Source{Store: client, Prefix: "peridotusher/", Peers: node, Members: members}
//	source.Register()
//	group.Go(func() error { return source.Run(ctx) })
//	doc := source.Document()
package config
