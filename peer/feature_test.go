package peer

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOldestPeer(t *testing.T) {
	open := versionRange{since: 1}
	tests := []struct {
		name    string
		list    []feature
		version uint32
		want    uint32
	}{
		{"first version", nil, 1, 1},
		{"adjacent version", nil, 5, 4},
		{"use begins with the service", []feature{{served: versionRange{since: 5}, used: versionRange{since: 5}}}, 5, 5},
		{"use begins after the service", []feature{{served: versionRange{since: 4}, used: versionRange{since: 5}}}, 5, 4},
		{"service ends with the use", []feature{{served: versionRange{1, 5}, used: versionRange{1, 5}}}, 5, 5},
		{"service ends after the use", []feature{{served: versionRange{1, 5}, used: versionRange{1, 4}}}, 5, 4},
		{"in use", []feature{{served: open, used: open}}, 5, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, oldestPeer(test.list, test.version)); diff != "" {
				t.Errorf("oldest (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdjacentVersionsAreCompatible checks the list of features, so that the routers
// of a fleet can be upgraded by one version in any order.
func TestAdjacentVersionsAreCompatible(t *testing.T) {
	for version := uint32(2); version <= protocolVersion; version++ {
		if !compatible(features, version, version-1) {
			t.Errorf("versions %d and %d do not work together", version, version-1)
		}
	}
}

// checkOutcome counts the pairs of versions that a check accepts or gets wrong.
type checkOutcome struct {
	Accepted, WronglyAccepted, WronglyRefused int
}

func (o *checkOutcome) record(accepted, want bool) {
	switch {
	case accepted && !want:
		o.WronglyAccepted++
	case !accepted && want:
		o.WronglyRefused++
	}
	if accepted {
		o.Accepted++
	}
}

// TestOldestPeerMatchesFeatureRanges compares three checks on random histories of
// a protocol: ranges of which only since is checked, ranges checked on both ends,
// and this package's single number, the oldest version of a peer.
func TestOldestPeerMatchesFeatureRanges(t *testing.T) {
	const histories, versions, featureCount = 200, 12, 20
	random := rand.New(rand.NewPCG(1, 0))
	var since, ranges, oldest, oldestNear checkOutcome
	for range histories {
		list := randomHistory(random, versions, featureCount)
		for a := uint32(1); a <= versions; a++ {
			for b := a; b <= versions; b++ {
				want := compatible(list, a, b)
				byOldest := a >= oldestPeer(list, b)
				since.record(compatible(withoutUntil(list), a, b), want)
				ranges.record(compatible(list, a, b), want)
				oldest.record(byOldest, want)
				if b-a <= maxVersionDistance {
					oldestNear.record(byOldest, want)
				}
			}
		}
	}
	t.Logf("since only: %+v", since)
	t.Logf("ranges on both ends: %+v", ranges)
	t.Logf("oldest peer: %+v, of these at most %d apart: %+v", oldest, maxVersionDistance, oldestNear)
	if since.WronglyAccepted == 0 {
		t.Error("the histories contain no pair that a check of since alone wrongly accepts")
	}
	if oldest.WronglyAccepted != 0 || oldestNear.WronglyRefused != 0 {
		t.Error("the oldest peer and the feature ranges disagree: a pair was wrongly accepted, or a near one refused")
	}
}

// randomHistory returns features that are used only in versions that serve them.
func randomHistory(random *rand.Rand, versions, featureCount int) []feature {
	list := make([]feature, featureCount)
	for i := range list {
		since := 1 + random.Uint32N(uint32(versions))
		f := feature{served: versionRange{since: since}, used: versionRange{since: since + random.Uint32N(2)}}
		if random.IntN(2) == 0 {
			f.used.until = f.used.since + 1 + random.Uint32N(4)
			f.served.until = f.used.until + random.Uint32N(2)
		}
		list[i] = f
	}
	return list
}

func withoutUntil(list []feature) []feature {
	open := make([]feature, len(list))
	for i, f := range list {
		open[i] = feature{served: versionRange{since: f.served.since}, used: f.used}
	}
	return open
}
