package caller

import (
	"cmp"
	"math"
	"net/http"
	"time"

	"peridotusher.example/peridotusher/httpserve"
)

// newLimiter returns the limits of what callers occupy with requests that have not arrived whole.
func (s *Server) newLimiter() *httpserve.Limiter {
	maxHead := cmp.Or(s.Limits.HeaderBytes, http.DefaultMaxHeaderBytes)
	return &httpserve.Limiter{
		Clock:        s.Clock,
		MaxConns:     cmp.Or(s.Limits.Connections, math.MaxInt),
		HeadMemory:   s.Limits.HeaderMemory,
		MaxHeadBytes: func() int { return maxHead },
		IdleReuse:    func() time.Duration { return idleReuseTime },
		Count:        s.Refused,
		Report: func(reason httpserve.Refusal, number int) {
			s.Log.WithField("reason", string(reason)).WithField("callers", number).Warn("refused callers")
		},
	}
}
