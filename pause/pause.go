// Package pause provides waits that end early when a context is done: for a fixed
// time, or with exponential backoff between attempts.
//
// # Usage
//
//	for pause.For(ctx, interval) {
//		poll()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or false if ctx is done first. If d is not
// positive, it returns at once, with false if ctx is already done.
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
