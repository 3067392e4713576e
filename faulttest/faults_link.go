package faulttest

import "peridotusher.example/peridotusher/faultproxy"

// linkFaults are the faults between zones and to the platform.
func linkFaults() []Fault {
	return []Fault{
		{Name: "connections-silent", Chats: Told, Calls: Told, Begin: silenceLinks},
		{Name: "zone-cut", Chats: Told, Calls: Told, Stale: true, Begin: cutZone, End: healZone},
		{Name: "zone-cut-from-platform", Calls: Told, Stale: true, Begin: cutPlatform, End: healPlatform},
		{Name: "links-lossy", Chats: Told, Calls: Told, Begin: slowLinks, End: restoreLinks},
	}
}

// silenceLinks silences every open connection that leaves a zone. New
// connections work.
func silenceLinks(e *Episode) error {
	e.bed.Links.Each(e.zone(), (*faultproxy.Proxy).SilenceOpen)
	return nil
}

func cutZone(e *Episode) error {
	e.lastCut = e.zone()
	e.bed.CutZone(e.lastCut)
	return nil
}

func healZone(e *Episode) error {
	e.bed.HealZone(e.lastCut)
	return nil
}

func cutPlatform(e *Episode) error {
	e.unplugged = e.zone()
	e.bed.CutPlatform(e.unplugged)
	return nil
}

func healPlatform(e *Episode) error {
	e.bed.HealPlatform(e.unplugged)
	return nil
}

// slowLinks delays the links of a zone as after losses of packets.
func slowLinks(e *Episode) error {
	e.slowZone = e.zone()
	e.bed.Links.Each(e.slowZone, func(p *faultproxy.Proxy) {
		p.Set(faultproxy.Fault{Delay: lossyDelay, Jitter: lossyJitter})
	})
	return nil
}

func restoreLinks(e *Episode) error {
	e.bed.Links.Restore(e.slowZone)
	return nil
}
