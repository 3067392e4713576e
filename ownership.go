package peridotusher

// maxCachedRankings bounds the rankings cached for one version of the table.
const maxCachedRankings = 1 << 16

// rankKey identifies the ranking of routers for one engine of a zone.
type rankKey struct {
	engine EngineID
	zone   Zone
}

// OwnerOf returns the router that grants the permits for an engine of the zone.
//
// It is the first router of the engine's ranking: the live routers of the zone in
// rendezvous order, then the live routers of the other zones, then the leaving
// ones. So a zone without a live router is served by the other zones, and a fleet
// that is shutting down still grants permits for its last requests.
func (t *Members) OwnerOf(engine EngineID, zone Zone) (RouterID, bool) {
	return t.routerAt(engine, zone, 0)
}

// DeputyOf returns the second router of the engine's ranking, which becomes the owner
// when the present one leaves or fails.
func (t *Members) DeputyOf(engine EngineID, zone Zone) (RouterID, bool) {
	return t.routerAt(engine, zone, 1)
}

// routerAt returns the router at the given position of the engine's ranking.
func (t *Members) routerAt(engine EngineID, zone Zone, position int) (RouterID, bool) {
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
	if position >= len(rank) {
		return "", false
	}
	return rank[position], true
}

// rankRouters computes the first routers of an engine's ranking.
func (t *Members) rankRouters(key rankKey) []RouterID {
	const places = 2
	var sameZone, otherZones, leaving []Weighted
	for id, e := range t.members {
		candidate := Weighted{Name: string(id), Weight: 1}
		switch {
		case e.state == MemberLeaving:
			leaving = append(leaving, candidate)
		case e.state != MemberLive:
			continue
		case e.zone == key.zone:
			sameZone = append(sameZone, candidate)
		default:
			otherZones = append(otherZones, candidate)
		}
	}
	var rank []RouterID
	for _, group := range [][]Weighted{sameZone, otherZones, leaving} {
		for _, name := range Rank(string(key.engine), group) {
			rank = append(rank, RouterID(name))
		}
		if len(rank) >= places {
			return rank[:places]
		}
	}
	return rank
}
