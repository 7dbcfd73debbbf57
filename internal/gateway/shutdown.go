package gateway

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A graceful stop: what was read is answered, what would be cut is not taken.

// Times of a graceful stop.
const (
	// balancerNoticeTime is how long the balancer may still send new connections: it asks
	// once a second and takes an instance out after two refusals.
	balancerNoticeTime = 2300 * time.Millisecond
	// lingerAfterNotice is how long unused connections are kept after that. Requests that come
	// in half of it have five seconds left until they are cut.
	lingerAfterNotice = time.Second
	// acceptTime is how long after a stop began requests are taken however long they may last:
	// callers that were under way then have sent by that time.
	acceptTime = 2900 * time.Millisecond
	// stopMargin is what is left of the time to stop when requests are cut, so
	// that the process ends by itself.
	stopMargin = 500 * time.Millisecond
	// answerTime is what is left to answer a request whose deadline has passed, before a stop cuts.
	answerTime = drain.ResponseMargin
)

// CutError says how many requests a stop cut.
type CutError struct{ Requests int64 }

// Error implements error.
func (e *CutError) Error() string { return "gateway: requests were cut by a stop" }

// Shutdown ends the process gracefully: not ready at once; it goes on accepting
// until the balancer has noticed; then it finishes what is in hand. It returns a
// *CutError if the time to stop passed, or ctx ended, first.
func (g *Gateway) Shutdown(ctx context.Context) error {
	within, began := g.settings().StopWithin-stopMargin, g.now()
	g.stopTimes.Store(&drain.Schedule{AcceptUntil: began.Add(acceptTime), AbortAt: began.Add(within)})
	g.sendEvent(shutdownBegun{})
	g.queryControl(func(*controlState) {})
	g.log.WithField("in_hand", g.inFlight.Load()).Info("stopping")
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	wait.For(ctx, balancerNoticeTime)
	err := drain.Stop(ctx, g.callerSrv, g.callerLn, &g.callerConns, lingerAfterNotice)
	cut := g.inFlight.Load()
	if err != nil {
		g.callerSrv.Close()
	}
	g.announceLeave()
	g.Kill()
	g.goroutines.Wait()
	if err != nil && cut > 0 {
		g.log.WithField("requests", cut).Error("stop cut requests")
		return &CutError{Requests: cut}
	}
	g.log.Info("stopped")
	return nil
}

// wouldCut says whether a request that has come whole only now, and ends by its deadline, could
// be cut by a stop.
func (g *Gateway) wouldCut(deadline time.Time) bool {
	return g.stopTimes.Load().WouldAbort(g.now(), deadline)
}
