package quarantine

import (
	"slices"
	"time"
)

// The limits of what is remembered, which bound it to some 300 KB.
const (
	maxCrashes  = 48
	maxSuspects = 12 // of a crash
	// maxParts is the maximum number of parts of a suspect. Requests with more are not suspected.
	maxParts = 64
)

// minShorter is how much shorter another request with the same parts has to be at the replica to
// replace a known suspect, since the ages that other routers report are rounded.
const minShorter = 100 * time.Millisecond

// crash is the end of a replica that had requests.
type crash struct {
	replica  uint32 // hash of the replica and of its start
	at       time.Time
	suspects []suspect
}

// suspect is a request that had received nothing of its answer when its replica crashed.
type suspect struct {
	// duration is the time from the send to the crash. It does not depend on how long the report
	// took from another router.
	duration time.Duration
	parts    []uint64
}

// merge adds the suspects of a report on the same crash and reports whether any is new.
func (c *crash) merge(now time.Time, reported Crash) bool {
	changed := false
	for _, s := range reported.Suspects {
		changed = c.addSuspect(suspect{duration: max(s.Age-reported.Age, 0), parts: s.Parts}) || changed
	}
	if at := now.Add(-reported.Age); at.Before(c.at) {
		c.at = at
	}
	return changed
}

// report returns the crash as it is published, with its suspects that match.
func (c *crash) report(now time.Time, matches func(parts []uint64) bool) Crash {
	age := now.Sub(c.at)
	out := Crash{Replica: c.replica, Age: age}
	for _, s := range c.suspects {
		if matches(s.parts) {
			out.Suspects = append(out.Suspects, Suspect{Age: age + s.duration, Parts: s.parts})
		}
	}
	return out
}

// isExplained reports whether one of the rules blocks a suspect of the crash.
func (c *crash) isExplained(rules []Rule) bool {
	return slices.ContainsFunc(c.suspects, func(s suspect) bool { return matchesAny(rules, s.parts) })
}

// addSuspect adds a suspect and reports whether it is new. Suspects with the same parts count as
// one, which was sent when the last of them was.
func (c *crash) addSuspect(s suspect) bool {
	if len(s.parts) == 0 || len(s.parts) > maxParts {
		return false
	}
	i := slices.IndexFunc(c.suspects, func(known suspect) bool { return slices.Equal(known.parts, s.parts) })
	if i >= 0 {
		shorter := c.suspects[i].duration-s.duration >= minShorter
		if shorter {
			c.suspects[i].duration = s.duration
		}
		return shorter
	}
	if len(c.suspects) >= maxSuspects {
		return false
	}
	c.suspects = append(c.suspects, s)
	return true
}
