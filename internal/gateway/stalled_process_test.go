package gateway

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

// TestStalledProcess guards against a process that was paused and does not detect it at its next
// control tick. After a pause it must send no requests to targets that are warming up for a while: it
// may not know yet which instances started meanwhile.
func TestStalledProcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &controlState{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return now }}
	is.True(!c.detectPause()) // the first tick
	for range 100 {
		now = now.Add(controlTick)
		is.True(!c.detectPause())
	}
	is.True(c.warmupAllowedAt.IsZero())
	now = now.Add(pauseThreshold + controlTick)
	is.True(c.detectPause())
	is.Equal(c.warmupAllowedAt, now.Add(warmupSettleTime))
	now = now.Add(controlTick)
	is.True(!c.detectPause())
}
