// Package wait holds the waits that edges and stand-ins share.
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

// MaxRetryAfter bounds the wait that another party asks for, whatever it says.
const MaxRetryAfter = time.Hour

// RetryAfter is the wait that a Retry-After of so many seconds asks for; 0 is none.
func RetryAfter(seconds float64) time.Duration {
	if !(seconds > 0) { // NaN asks for none
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// Signal wakes one goroutine that waits for something to do. Raised several times before
// it is taken, it wakes once. The nil Signal is never raised.
type Signal chan struct{}

// NewSignal returns a signal that is not raised.
func NewSignal() Signal { return make(Signal, 1) }

// Raise wakes who waits, or who waits next.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default: // it is raised already
	}
}

// Wait waits for the signal for d at most, and says whether it came.
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
