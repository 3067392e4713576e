// Package weights is a client of the platform's rate-limited weight store. A router reserves the
// weights of a model version before it orders an engine to load them.
//
// # Usage
//
//	client, cleanup := weights.New("http://192.0.2.9", 2*time.Second)
//	defer cleanup()
//	ticket, err := client.Reserve(ctx, "sizer", "7")
//	var limited *weights.RateLimitedError
//	if errors.As(err, &limited) {
//		// Retry after limited.RetryAfter().
//	}
package weights
