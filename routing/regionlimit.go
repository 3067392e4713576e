package routing

import "slices"

// RegionLimit restricts the regions in which replicas may get requests. The zero value allows all of
// them.
type RegionLimit struct {
	limited bool
	regions []string
}

// OnlyRegions returns a limit that allows the given regions; none, if there are no names.
func OnlyRegions(names ...string) RegionLimit { return RegionLimit{limited: true, regions: names} }

// Limited reports whether the limit allows only some regions or none.
func (l RegionLimit) Limited() bool { return l.limited }

// Allows reports whether replicas in a region may get requests.
func (l RegionLimit) Allows(region string) bool {
	return !l.limited || slices.Contains(l.regions, region)
}
