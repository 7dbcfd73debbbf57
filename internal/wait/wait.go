// Package wait holds the one wait that edges and stand-ins share.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d, or until ctx ends; it returns false in the latter case. No
// time, or less, is no wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter spreads a period over half to one and a half of itself, so that
// instances started together do not act together.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }
