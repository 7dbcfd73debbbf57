// Package wait provides context-aware waits, jitter, Retry-After values and a wake-up signal.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and returns true, or false if ctx ends first. It does not wait
// if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration between d/2 and 3d/2, so that instances
// started together do not run their periodic work in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

// MaxRetryAfter is the upper bound of RetryAfter.
const MaxRetryAfter = time.Hour

// RetryAfter converts a Retry-After value in seconds to a duration, at most
// MaxRetryAfter. It returns 0, no wait, if the value is not a positive number.
func RetryAfter(seconds float64) time.Duration {
	if !(seconds > 0) { // also true for NaN
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// Signal wakes one goroutine that waits for work. If it is raised several times before it is
// received, it wakes the goroutine once. Raising a nil Signal has no effect.
type Signal chan struct{}

// NewSignal returns a signal that is not raised.
func NewSignal() Signal { return make(Signal, 1) }

// Raise wakes the waiting goroutine, or the next one that waits.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default: // already raised
	}
}

// Wait waits for the signal for at most d and returns whether it was received.
func (s Signal) Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
