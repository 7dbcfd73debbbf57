package gateway

import (
	"testing"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestStopKeepsItsTimes guards against a stop that refuses requests by the stop timeout of settings
// reloaded meanwhile but aborts by the timeout at its begin.
func TestStopKeepsItsTimes(t *testing.T) {
	const since = 3200 * time.Millisecond
	for stopWithin, excess := range map[time.Duration]time.Duration{time.Hour: 1, since: 0} {
		t.Run(stopWithin.String(), func(t *testing.T) {
			atStopEdge(t, edgeCodec{kind: catalog.Streaming, timeout: edgeMaxDeadline - since + excess}, func(f *edgeFleet) {
				c, _ := f.sendLate(unusedConn, since)
				f.sleepUntil(balancerNoticeTime)
				next := *f.gateways[0].settings()
				next.StopWithin = stopWithin
				f.gateways[0].Reload(&next)
				if excess > 0 {
					c.send(since, f.request(endlessDuration, 0))
					c.expectRefused(since, 0)
				} else {
					c.send(since, f.request(edgeAbortTime-since-beforeAbort, 0))
					c.expectComplete()
				}
				f.is.NoErr(<-f.stopped)
			})
		})
	}
}
