package routing

import "slices"

// Protection is a part of a document that restricts what clients may do.
type Protection string

// The protections that a document may have.
const (
	ProtectionKeys       Protection = "keys"
	ProtectionHeaderSize Protection = "header-size"
	ProtectionBodySize   Protection = "body-size"
	ProtectionHeaderTime Protection = "header-time"
	ProtectionIdleTime   Protection = "idle-time"
	ProtectionRegions    Protection = "regions"
)

// protections returns what the document protects.
func (d *Document) protections() []Protection {
	limitsRegions := slices.ContainsFunc(d.Routes, func(r *Route) bool { return r.Regions.Limited() }) ||
		slices.ContainsFunc(d.Organisations, func(o *Organisation) bool { return o.Regions.Limited() })
	var present []Protection
	for _, p := range []struct {
		protection Protection
		present    bool
	}{
		{ProtectionKeys, d.RequiresKeys()},
		{ProtectionHeaderSize, d.Limits.HeaderBytes > 0},
		{ProtectionBodySize, d.Limits.BodyBytes > 0},
		{ProtectionHeaderTime, d.Limits.HeaderTimeout > 0},
		{ProtectionIdleTime, d.Limits.IdleTimeout > 0},
		{ProtectionRegions, limitsRegions},
	} {
		if p.present {
			present = append(present, p.protection)
		}
	}
	return present
}

// RemovedProtections returns the protections that an earlier document had and this one lacks
// altogether. earlier may be nil.
func (d *Document) RemovedProtections(earlier *Document) []Protection {
	if earlier == nil {
		return nil
	}
	present := d.protections()
	return slices.DeleteFunc(earlier.protections(), func(p Protection) bool { return slices.Contains(present, p) })
}
