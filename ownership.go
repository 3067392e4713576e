package peridotusher

// maxCachedRankings bounds the rankings that are kept for one version of the table.
const maxCachedRankings = 1 << 16

// rankKey names the ranking of routers for one engine of a zone.
type rankKey struct {
	engine EngineID
	zone   Zone
}

// OwnerOf returns the router that gives the permits for an engine of the zone.
//
// It is the first of the engine's ranking: the live routers of the zone in
// rendezvous order, then the live routers of the other zones, then the leaving
// ones. A zone without a live router is thus served by the other zones, and a
// fleet that is stopping still gives permits to its last requests.
func (t *Members) OwnerOf(engine EngineID, zone Zone) (RouterID, bool) {
	return t.routerAt(engine, zone, 0)
}

// DeputyOf returns the second router of the ranking of OwnerOf, which is the
// owner once the present one is gone.
func (t *Members) DeputyOf(engine EngineID, zone Zone) (RouterID, bool) {
	return t.routerAt(engine, zone, 1)
}

// scoredEngine returns the router at a place of the engine's ranking.
func (t *Members) routerAt(engine EngineID, zone Zone, place int) (RouterID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := rankKey{engine, zone}
	rank, ok := t.rankings[key]
	if !ok {
		rank = t.rankRouters(key)
		if len(t.rankings) >= maxCachedRankings {
			clear(t.rankings)
		}
		t.rankings[key] = rank
	}
	if place >= len(rank) {
		return "", false
	}
	return rank[place], true
}

// rankRouters computes the first routers of an engine's ranking.
func (t *Members) rankRouters(key rankKey) []RouterID {
	const places = 2
	var near, far, leaving []Weighted
	for id, e := range t.members {
		candidate := Weighted{Name: string(id), Weight: 1}
		switch {
		case e.state == MemberLeaving:
			leaving = append(leaving, candidate)
		case e.state != MemberLive:
			continue
		case e.zone == key.zone:
			near = append(near, candidate)
		default:
			far = append(far, candidate)
		}
	}
	var rank []RouterID
	for _, group := range [][]Weighted{near, far, leaving} {
		for _, name := range Rank(string(key.engine), group) {
			rank = append(rank, RouterID(name))
		}
		if len(rank) >= places {
			return rank[:places]
		}
	}
	return rank
}
