// Package placing decides which replica gets a request. It knows no network: a
// choice depends on the candidates' loads, the zone and the shared part of the
// prompt alone, so that all routers of a zone choose the same home for a part.
//
// # Usage
//
//	choice, ok := placing.Prompt{Key: key, Zone: zone, Tokens: 9000}.Choose(candidates)
package placing
