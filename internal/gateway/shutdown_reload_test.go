package gateway

import (
	"testing"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestStopKeepsItsTimes guards against a stop whose refusals go by the time to stop of settings
// that were reloaded meanwhile, and whose cut goes by the time that held when it began.
func TestStopKeepsItsTimes(t *testing.T) {
	const since = 3200 * time.Millisecond
	for within, over := range map[time.Duration]time.Duration{time.Hour: 1, since: 0} {
		t.Run(within.String(), func(t *testing.T) {
			atStopEdge(t, edgeCodec{kind: catalog.Streaming, timeout: edgeLast - since + over}, func(f *edgeFleet) {
				c, _ := f.sendLate(onUnused, since)
				f.until(balancerNoticeTime)
				next := *f.gateways[0].settings()
				next.StopWithin = within
				f.gateways[0].Reload(&next)
				if over > 0 {
					c.send(since, f.request(neverEnds, 0))
					c.isRefused(since, 0)
				} else {
					c.send(since, f.request(edgeCut-since-beforeCut, 0))
					c.isWhole()
				}
				f.is.NoErr(<-f.stopped)
			})
		})
	}
}
