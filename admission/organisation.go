package admission

import "slices"

const (
	// maxOrganisations bounds the organisations that are counted separately. All others
	// are counted as one.
	maxOrganisations = 256
	// otherOrganisations is the name under which the others are counted.
	otherOrganisations = "\x00others"
	// negligibleGrants is the decayed count of grants below which an organisation without
	// requests is removed.
	negligibleGrants = 0.01
)

// organisation holds the counts that determine the share of one organisation.
type organisation struct {
	name       string
	requested  decayingCount // requests, without retries of refused clients
	granted    decayingCount
	inProgress int
	buckets    int

	// The decayed counts at the time of the present call, see refresh.
	requestedNow, recentGrants float64
}

// isStarved reports whether the share of the organisation's requests that was granted lately is
// far below the mean share. This happens to an organisation that requests many times its
// share.
func (o *organisation) isStarved(mean float64) bool {
	return o.recentGrants < minServedRatio*mean*o.requestedNow
}

// usedCapacity is the capacity that the organisation has used lately: its recent grants and its
// requests in progress. The organisation that used the least is granted the next slot.
func (o *organisation) usedCapacity() float64 { return o.recentGrants + float64(o.inProgress) }

// starvedShare returns the minimum share of the grants that a starved organisation gets while
// its requests wait.
func (q *Queue) starvedShare(o *organisation) float64 {
	var requested float64
	for _, other := range q.organisations {
		requested += other.requestedNow
	}
	return min(1.0/reservedInterval, minServedRatio*o.requestedNow/max(requested, 1))
}

// findOrAddOrganisation returns the counts of an organisation, or of all others if too many are
// counted separately.
func (q *Queue) findOrAddOrganisation(name string) *organisation {
	if o, ok := q.organisations[name]; ok {
		return o
	}
	if len(q.organisations) >= maxOrganisations {
		q.removeIdle()
	}
	if len(q.organisations) >= maxOrganisations {
		name = otherOrganisations
		if o, ok := q.organisations[name]; ok {
			return o
		}
	}
	o := &organisation{name: name}
	q.organisations[name] = o
	return o
}

// removeIdle removes buckets and organisations without requests or recent grants.
func (q *Queue) removeIdle() {
	for _, l := range q.levels {
		l.buckets = slices.DeleteFunc(l.buckets, func(b *bucket) bool {
			idle := len(b.waiting) == 0 && len(b.retryTimes) == 0 && b.recentGrants < negligibleGrants
			if idle {
				b.org.buckets--
			}
			return idle
		})
	}
	for name, o := range q.organisations {
		if o.buckets == 0 && o.inProgress == 0 && o.recentGrants < negligibleGrants {
			delete(q.organisations, name)
		}
	}
}
