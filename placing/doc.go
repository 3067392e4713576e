// Package placing decides which replica gets a request. It does no I/O: a choice depends
// on the candidates' loads, on which replicas have the shared part of the prompt cached and on
// a rendezvous order that is the same at all routers. Where replicas report their pace, which
// is a slowdown factor, it also depends on when an answer is expected to begin.
//
// A part is a prefix of a prompt that other prompts share. Model replicas cache the parts
// that they have read.
//
// # Usage
//
//	choice, ok := placing.Prompt{Key: key, MaxLoadFactor: 2, Holders: directory.Holders(key)}.Choose(candidates)
package placing
