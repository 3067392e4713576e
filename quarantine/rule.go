package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is blamed.
	minCrashes = 3
	// minBlock is how long requests are blocked after the latest crash. It doubles with each crash
	// of a request that was sent on trial after the end of a block, up to maxBlock.
	minBlock = time.Minute
	maxBlock = 16 * time.Minute
	// maxRules is the number of rules above which none applies: if that many parts seem to crash
	// replicas, the replicas crash for another reason.
	maxRules = 12
)

// Rule blocks the requests that contain all of its parts.
type Rule struct {
	parts   []uint64 // sorted
	crashes int
	until   time.Time
}

// Parts returns the parts that a blocked request contains, in rising order.
func (r Rule) Parts() []uint64 { return r.parts }

// Crashes returns the number of crashes that the rule follows from.
func (r Rule) Crashes() int { return r.crashes }

// Until returns when the block ends.
func (r Rule) Until() time.Time { return r.until }

// matches reports whether a request with the parts contains all parts of the rule.
func (r Rule) matches(parts []uint64) bool {
	return !slices.ContainsFunc(r.parts, func(p uint64) bool { return !slices.Contains(parts, p) })
}

// key identifies the rule by its parts.
func (r Rule) key() string { return fmt.Sprint(r.parts) }

// concernsAny reports whether the part is one of those of a rule.
func concernsAny(rules []Rule, part uint64) bool {
	return slices.ContainsFunc(rules, func(r Rule) bool { return slices.Contains(r.parts, part) })
}

// matchesAny reports whether one of the rules blocks requests with the parts.
func matchesAny(rules []Rule, parts []uint64) bool {
	return slices.ContainsFunc(rules, func(r Rule) bool { return r.matches(parts) })
}

// countInForce counts the rules that are in force.
func countInForce(rules []Rule, now time.Time) int {
	n := 0
	for _, r := range rules {
		if r.until.After(now) {
			n++
		}
	}
	return n
}

// containsRule reports whether a rule with the same parts is in the list.
func containsRule(rules []Rule, rule Rule) bool {
	return slices.ContainsFunc(rules, func(r Rule) bool { return slices.Equal(r.parts, rule.parts) })
}

// withoutImplied removes the rules whose parts include all parts of another rule.
func withoutImplied(rules []Rule) []Rule {
	implied := func(rule Rule) bool {
		return slices.ContainsFunc(rules, func(r Rule) bool {
			return len(r.parts) < len(rule.parts) && r.matches(rule.parts)
		})
	}
	return slices.DeleteFunc(slices.Clone(rules), implied)
}
