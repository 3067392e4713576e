// Package pause waits: for a time, or with growing delays between attempts, and
// never beyond the end of a context.
//
// # Usage
//
//	for pause.For(ctx, interval) {
//		look()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d, and returns false when ctx ends first. Without anything to
// wait for it returns at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
