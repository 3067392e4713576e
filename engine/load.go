package engine

import (
	"context"
	"net/http"
	"time"

	"peridotusher.example/peridotusher/service"
)

// LoadedVersion is a model version that an engine has loaded or is loading.
type LoadedVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Ready   bool   `json:"ready"`
	Running *int   `json:"running"` // requests that run on it, nil if the engine does not count them
}

// loadAnswer is the answer of GET /load.
type loadAnswer struct {
	Name     string          `json:"name"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Work     int             `json:"work"`
	Versions []LoadedVersion `json:"versions"`
	Adapters []string        `json:"adapters"`
	Role     string          `json:"role"`
	Cached   int             `json:"cached"`
	Capacity int             `json:"capacity"`
	Sequence uint64          `json:"sequence"`
	Age      int64           `json:"age"`  // milliseconds since the sample was taken
	Rate     *float64        `json:"rate"` // accepted requests a second, nil if there is no limit
}

// Report is the load that an engine reports, sampled SampledAgo before it was sent.
type Report struct {
	wire loadAnswer
}

// Name returns the engine's name.
func (r Report) Name() string { return r.wire.Name }

// Running returns the number of requests in the batch.
func (r Report) Running() int { return r.wire.Running }

// Waiting returns the number of requests in the engine's queue.
func (r Report) Waiting() int { return r.wire.Waiting }

// Work returns the outstanding work in work units.
func (r Report) Work() int { return r.wire.Work }

// Versions returns the model versions that the engine has loaded or is loading.
func (r Report) Versions() []LoadedVersion { return r.wire.Versions }

// Adapters returns the adapters that the engine has loaded.
func (r Report) Adapters() []string { return r.wire.Adapters }

// Role returns the engine's role.
func (r Report) Role() string { return r.wire.Role }

// CacheTokens returns the number of tokens in the engine's prefix cache.
func (r Report) CacheTokens() int { return r.wire.Cached }

// CacheCapacity returns the size of the prefix cache in tokens.
func (r Report) CacheCapacity() int { return r.wire.Capacity }

// Sequence returns the sequence number of the latest cache event.
func (r Report) Sequence() uint64 { return r.wire.Sequence }

// RequestRate returns the number of requests a second that the engine accepts, and whether it
// limits them. A negative number is no limit.
func (r Report) RequestRate() (rate float64, limited bool) {
	if r.wire.Rate == nil || *r.wire.Rate < 0 {
		return 0, false
	}
	return *r.wire.Rate, true
}

// SampledAgo returns the age of the report when the engine sent it.
func (r Report) SampledAgo() time.Duration { return time.Duration(r.wire.Age) * time.Millisecond }

// Load requests an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	var report Report
	r := service.Request{Method: http.MethodGet, Path: "/load", Idempotent: true}
	err := c.callJSON(ctx, address, r, &report.wire)
	return report, err
}
