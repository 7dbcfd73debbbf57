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
	stop := &Times{TakenUntil: began.Add(time.Second), Cut: began.Add(time.Minute)}
	last := stop.Cut.Add(-AnswerTime)
	is.True(!stop.WouldCut(stop.TakenUntil, last.Add(time.Hour)))
	is.True(!stop.WouldCut(stop.TakenUntil.Add(1), last))
	is.True(stop.WouldCut(stop.TakenUntil.Add(1), last.Add(1)))
	var none *Times
	is.True(!none.WouldCut(began, last.Add(time.Hour)))
}
