// Package routing holds the configuration that decides where a request may be sent: routes by
// host and longest path prefix, services, organisations with their keys, and limits on what a
// client may send.
//
// A Document is immutable. Current holds the latest one and never reverts to an earlier version.
//
// # Usage
//
//	current := routing.NewCurrent()
//	current.Offer(document)
//	route, ok := current.Load().Match(host, path)
package routing
