package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWouldAbort guards against a stop that accepts a late request which it then aborts, and against
// one that refuses requests that end in time or arrive before AcceptUntil or without a stop.
func TestWouldAbort(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	schedule := &Schedule{AcceptUntil: began.Add(time.Second), AbortAt: began.Add(time.Minute)}
	lastDeadline := schedule.AbortAt.Add(-ResponseMargin)
	is.True(!schedule.WouldAbort(schedule.AcceptUntil, lastDeadline.Add(time.Hour)))
	is.True(!schedule.WouldAbort(schedule.AcceptUntil.Add(1), lastDeadline))
	is.True(schedule.WouldAbort(schedule.AcceptUntil.Add(1), lastDeadline.Add(1)))
	var notStopping *Schedule
	is.True(!notStopping.WouldAbort(began, lastDeadline.Add(time.Hour)))
}
