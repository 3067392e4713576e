package replicas

import "time"

// prefillTokensPerSecond is the number of prompt tokens that a model engine reads per
// second, a conservative figure for the engines in use.
const prefillTokensPerSecond = 40000

// meter estimates the backlog of prompt tokens, which drains at prefillTokensPerSecond.
type meter struct {
	backlog float64
	at      time.Time
}

func (m *meter) level(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return max(0, m.backlog-prefillTokensPerSecond*now.Sub(m.at).Seconds())
}

func (m *meter) add(now time.Time, tokens float64) {
	m.backlog = m.level(now) + tokens
	m.at = now
}
