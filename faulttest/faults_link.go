package faulttest

import "peridotusher.example/peridotusher/faultproxy"

// linkFaults returns the faults of links between zones and to the platform.
func linkFaults() []Fault {
	return []Fault{
		{Name: "connections-silent", ChatTolerance: ReportedFailure, CallTolerance: ReportedFailure, Begin: silenceLinks},
		{Name: "zone-cut", ChatTolerance: ReportedFailure, CallTolerance: ReportedFailure, StaleConfiguration: true, Begin: cutZone, End: healZone},
		{Name: "zone-cut-from-platform", CallTolerance: ReportedFailure, StaleConfiguration: true, Begin: cutPlatform, End: healPlatform},
		{Name: "links-lossy", ChatTolerance: ReportedFailure, CallTolerance: ReportedFailure, Begin: slowLinks, End: restoreLinks},
	}
}

// silenceLinks silences every open connection of the links of a zone. New connections
// are not affected.
func silenceLinks(e *Episode) error {
	e.bed.Links.Each(e.zone(), (*faultproxy.Proxy).SilenceOpen)
	return nil
}

func cutZone(e *Episode) error {
	e.isolatedZone = e.zone()
	e.bed.CutZone(e.isolatedZone)
	return nil
}

func healZone(e *Episode) error {
	e.bed.HealZone(e.isolatedZone)
	return nil
}

func cutPlatform(e *Episode) error {
	e.zoneWithoutPlatform = e.zone()
	e.bed.CutPlatform(e.zoneWithoutPlatform)
	return nil
}

func healPlatform(e *Episode) error {
	e.bed.HealPlatform(e.zoneWithoutPlatform)
	return nil
}

// slowLinks delays the links of a zone as packet loss with retransmission would.
func slowLinks(e *Episode) error {
	e.slowZone = e.zone()
	e.bed.Links.Each(e.slowZone, func(p *faultproxy.Proxy) {
		p.Set(faultproxy.Fault{Delay: lossyDelay, Jitter: lossyJitter})
	})
	return nil
}

func restoreLinks(e *Episode) error {
	e.bed.Links.RemoveFaults(e.slowZone)
	return nil
}
