package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWouldCut guards against a stop that takes late what it cuts, at the edges of its times, and
// against one that refuses what ends in time, or refuses before it has begun.
func TestWouldCut(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	stop := &Schedule{AcceptUntil: began.Add(time.Second), AbortAt: began.Add(time.Minute)}
	last := stop.AbortAt.Add(-ResponseMargin)
	is.True(!stop.WouldAbort(stop.AcceptUntil, last.Add(time.Hour)))
	is.True(!stop.WouldAbort(stop.AcceptUntil.Add(1), last))
	is.True(stop.WouldAbort(stop.AcceptUntil.Add(1), last.Add(1)))
	var none *Schedule
	is.True(!none.WouldAbort(began, last.Add(time.Hour)))
}
