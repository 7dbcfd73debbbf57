package gateway

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A graceful stop answers every request that was read, and refuses requests that it might abort.

// Times of a graceful stop.
const (
	// balancerNoticeTime is how long the balancer may still send new connections: it polls
	// readiness once a second and removes an instance after two failures.
	balancerNoticeTime = 2300 * time.Millisecond
	// lingerAfterNotice is how long unused connections stay open after that. Requests that arrive
	// within half of it have five seconds left until they are aborted.
	lingerAfterNotice = time.Second
	// acceptTime is how long after the begin of a stop requests are accepted whatever their
	// deadline: callers that were connecting at its begin have sent their requests by then.
	acceptTime = 2900 * time.Millisecond
	// stopMargin is what is left of the stop timeout when requests are aborted, so that the
	// process exits by itself before it is killed.
	stopMargin = 500 * time.Millisecond
	// answerTime is the time reserved before the abort for responses to requests whose deadline has
	// passed.
	answerTime = drain.ResponseMargin
)

// CutError says how many requests a stop aborted.
type CutError struct{ Requests int64 }

// Error implements error.
func (e *CutError) Error() string { return "gateway: requests were aborted by a stop" }

// Shutdown stops the instance gracefully: it is not ready from now on, accepts connections until
// the balancer has noticed, and then finishes the requests in flight. It returns a *CutError if it
// had to abort some because the stop timeout expired or ctx ended.
func (g *Gateway) Shutdown(ctx context.Context) error {
	timeout, startedAt := g.settings().StopWithin-stopMargin, g.now()
	g.stopTimes.Store(&drain.Schedule{AcceptUntil: startedAt.Add(acceptTime), AbortAt: startedAt.Add(timeout)})
	g.sendEvent(shutdownBegun{})
	g.queryControl(func(*controlState) {})
	g.log.WithField("in_hand", g.inFlight.Load()).Info("stopping")
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wait.For(ctx, balancerNoticeTime)
	err := g.callerSrv.Stop(ctx, lingerAfterNotice)
	aborted := g.inFlight.Load()
	if err != nil {
		g.callerSrv.Close()
	}
	g.announceLeave()
	g.relays.awaitIdle(ctx)
	drain.StopAdmin(ctx, g.readySrv, g.metricsSrv)
	g.Kill()
	g.goroutines.Wait()
	if err != nil && aborted > 0 {
		g.log.WithField("requests", aborted).Error("stop cut requests")
		return &CutError{Requests: aborted}
	}
	g.log.Info("stopped")
	return nil
}

// wouldAbort reports whether a stop could abort a request that has been received completely only
// now and may run until its deadline.
func (g *Gateway) wouldAbort(deadline time.Time) bool {
	return g.stopTimes.Load().WouldAbort(g.now(), deadline)
}
