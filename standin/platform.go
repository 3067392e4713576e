package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httpserve"
)

// platformServe serves requests on l until ctx is done, then closes all connections.
func platformServe(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	return httpserve.Until(ctx, server, l, server.Close)
}

// platformNow reads the clock, or the wall clock if there is none.
func platformNow(c peridotusher.Clock) time.Time {
	if c == nil {
		return time.Now()
	}
	return c.Now()
}

// platformAnswer writes v as JSON.
func platformAnswer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// platformLimited answers that the rate limit was exceeded.
func platformLimited(w http.ResponseWriter, retryAfter time.Duration) {
	seconds := int((retryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	platformAnswer(w, http.StatusTooManyRequests, struct {
		Message string `json:"message"`
	}{"too many requests"})
}
