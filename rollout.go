package peridotusher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher/document"
)

// fullShare is the sum of the shares of a model's versions.
const fullShare = 100

// VersionShare is the share of a model's chats, in percent, that a version currently
// gets.
type VersionShare struct {
	Version string
	Share   int
}

// ActiveShares returns the shares that currently apply, also during a rollout. A
// version gets no more than the share of the model's engines that are ready for it,
// so that a version that is ready on few engines does not load them beyond the mean.
// The remainder goes to the version whose ready engines have the most spare capacity,
// which during a rollout is the outgoing version.
//
// The entries have the order of the document. An additional last entry has the
// remainder; its version may no longer be in the document.
func ActiveShares(model *document.Model, engines []Engine) []VersionShare {
	ready := readyVersions(model.Name(), engines)
	serving := 0
	for _, e := range engines {
		if e.Serves(model.Name(), "") {
			serving++
		}
	}
	var shares []VersionShare
	for _, v := range model.Versions() {
		limit := 0
		if serving > 0 {
			limit = fullShare * ready[v.Name()] / serving
		}
		shares = append(shares, VersionShare{v.Name(), min(v.Share(), limit)})
	}
	rest := versionWithMostSpare(ready, serving, shares)
	return append(shares, VersionShare{Version: rest, Share: fullShare - sumShares(shares)})
}

// ActiveVersion returns the version that currently serves a chat. A chat changes its
// version at most once while a version's share grows.
func ActiveVersion(model *document.Model, engines []Engine, chat ChatKey) string {
	if len(model.Versions()) == 0 {
		return ""
	}
	shares := ActiveShares(model, engines)
	point := int(xxhash.Sum64String("version\x00"+string(chat)) % fullShare)
	for i, v := range model.Versions() {
		if point < v.Share() {
			if point < shares[i].Share {
				return v.Name()
			}
			break
		}
		point -= v.Share()
	}
	return shares[len(shares)-1].Version
}

// readyVersions counts the engines that are ready for each version.
func readyVersions(model string, engines []Engine) map[string]int {
	ready := map[string]int{}
	for _, e := range engines {
		for _, v := range e.report.Versions {
			if v.Model == model && v.Ready {
				ready[v.Version]++
			}
		}
	}
	return ready
}

// versionWithMostSpare returns the version with the largest difference between the
// share of engines that are ready for it and its share of the chats. It returns an
// empty version if no engine is ready.
func versionWithMostSpare(ready map[string]int, serving int, shares []VersionShare) string {
	spare := map[string]int{}
	for version, n := range ready {
		spare[version] = fullShare * n / serving
	}
	for _, s := range shares {
		if _, ok := spare[s.Version]; ok {
			spare[s.Version] -= s.Share
		}
	}
	names := slices.Sorted(maps.Keys(spare))
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(spare[a], spare[b]) })
}

func sumShares(shares []VersionShare) int {
	sum := 0
	for _, s := range shares {
		sum += s.Share
	}
	return sum
}
