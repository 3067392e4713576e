package peer

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOldestPeer(t *testing.T) {
	open := span{since: 1}
	tests := []struct {
		name    string
		list    []feature
		version uint32
		want    uint32
	}{
		{"first version", nil, 1, 1},
		{"one apart", nil, 5, 4},
		{"use begins with the service", []feature{{served: span{since: 5}, used: span{since: 5}}}, 5, 5},
		{"use begins after the service", []feature{{served: span{since: 4}, used: span{since: 5}}}, 5, 4},
		{"service ends with the use", []feature{{served: span{1, 5}, used: span{1, 5}}}, 5, 5},
		{"service ends after the use", []feature{{served: span{1, 5}, used: span{1, 4}}}, 5, 4},
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

// TestNeighbouringVersionsFit keeps the table of features such that a fleet
// can be upgraded one version at a time, in any order.
func TestNeighbouringVersionsFit(t *testing.T) {
	for version := uint32(2); version <= protocolVersion; version++ {
		if !compatible(features, version, version-1) {
			t.Errorf("versions %d and %d do not work together", version, version-1)
		}
	}
}

// outcome counts how a check judges pairs of versions.
type outcome struct {
	Accepted, WronglyAccepted, WronglyRefused int
}

func (o *outcome) add(accepted, right bool) {
	switch {
	case accepted && !right:
		o.WronglyAccepted++
	case !accepted && right:
		o.WronglyRefused++
	}
	if accepted {
		o.Accepted++
	}
}

// TestChecksOfVersions compares three checks on random histories of a
// protocol: spans of which only since is checked, spans checked on both ends,
// and this package's one number for the oldest peer.
func TestChecksOfVersions(t *testing.T) {
	const histories, versions, parts = 200, 12, 20
	random := rand.New(rand.NewPCG(1, 0))
	var since, spans, number, numberNear outcome
	for range histories {
		list := randomHistory(random, versions, parts)
		for a := uint32(1); a <= versions; a++ {
			for b := a; b <= versions; b++ {
				right := compatible(list, a, b)
				byNumber := a >= oldestPeer(list, b)
				since.add(compatible(withoutUntil(list), a, b), right)
				spans.add(compatible(list, a, b), right)
				number.add(byNumber, right)
				if b-a <= versionsApart {
					numberNear.add(byNumber, right)
				}
			}
		}
	}
	t.Logf("since only: %+v", since)
	t.Logf("spans on both ends: %+v", spans)
	t.Logf("one number: %+v, of these at most %d apart: %+v", number, versionsApart, numberNear)
	if since.WronglyAccepted == 0 {
		t.Error("the histories hold no pair that a check of since alone gets wrong")
	}
	if number.WronglyAccepted != 0 || numberNear.WronglyRefused != 0 {
		t.Error("one number does not decide as the spans do for versions that are near")
	}
}

// randomHistory returns features with a use inside of their service.
func randomHistory(random *rand.Rand, versions, parts int) []feature {
	list := make([]feature, parts)
	for i := range list {
		since := 1 + random.Uint32N(uint32(versions))
		f := feature{served: span{since: since}, used: span{since: since + random.Uint32N(2)}}
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
		open[i] = feature{served: span{since: f.served.since}, used: f.used}
	}
	return open
}
