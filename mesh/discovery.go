package mesh

import "slices"

// HasLiveSeed reports whether routers that know only the seeds can find this one: a seed is alive, or
// this router is a seed itself.
func (n *Node) HasLiveSeed() bool {
	seeds := *n.seeds.Load()
	if slices.Contains(seeds, n.Self.Address) {
		return true
	}
	return slices.ContainsFunc(n.members.alive(), func(m *member) bool { return slices.Contains(seeds, m.Address) })
}

// IsAlone reports whether no other router is alive as far as this one knows.
func (n *Node) IsAlone() bool { return len(n.members.alive()) == 0 }
