package gateway

import (
	"maps"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Reports and orders are this instance's own requests. While their target has requested backoff
// they are few, but a load is neither delayed nor given up for it: during a load the target is
// cordoned at all instances, and the weights have to be loaded in time.

// TargetLeavingError says that no request is sent to a target because it is leaving or gone.
type TargetLeavingError struct{ Target string }

// Error implements error.
func (e *TargetLeavingError) Error() string { return e.Target + " is leaving or gone" }

// BackoffError says that no load is started at a target because it refused the last one and
// requested backoff.
type BackoffError struct {
	Target string
	Until  time.Time // when a load may start
}

// Error implements error.
func (e *BackoffError) Error() string {
	return e.Target + " requested backoff, no load is started until " + e.Until.UTC().Format(time.RFC3339Nano)
}

// checkServing fails if a target is leaving or gone.
func (o *rolloutController) checkServing(t *catalog.Target) error {
	if latest := o.g.view.Load().Targets[t.ID]; latest == nil || latest.IsLeaving() {
		return &TargetLeavingError{Target: t.ID}
	}
	return nil
}

const (
	// maxBackoffPoll is the longest pause between two reports of a load in progress while its
	// target is in backoff.
	maxBackoffPoll = 3 * time.Second
	// deferFactor times the backoff requested with the refusal of a report or order is how long
	// no other load starts: callers' requests wait for that backoff too, and are served for the
	// greater part of this time.
	deferFactor = 3
	// maxDeferTime bounds this time: the weights have to be loaded in time.
	maxDeferTime = 3 * time.Second
)

// pollPause is how long to wait before the next report of a load in progress.
func (o *rolloutController) pollPause(t *catalog.Target) time.Duration {
	backoff := o.g.breaker.Backoffs()[t.ID].Sub(o.g.now())
	return min(max(backoff, loadPollInterval), maxBackoffPoll)
}

// deferLoads defers loads at a target that requested backoff as it refused a report or an order;
// 0: it requested none.
func (o *rolloutController) deferLoads(t *catalog.Target, backoff time.Duration) {
	if backoff <= 0 {
		return
	}
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.deferredUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	o.deferredUntil[t.ID] = now.Add(min(deferFactor*backoff, maxDeferTime))
}

// checkDeferred fails if loads at a target are deferred.
func (o *rolloutController) checkDeferred(t *catalog.Target) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until := o.deferredUntil[t.ID]; o.g.now().Before(until) {
		return &BackoffError{Target: t.ID, Until: until}
	}
	return nil
}
