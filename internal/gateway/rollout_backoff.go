package gateway

import (
	"maps"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Reports and orders are this instance's own requests. In a rest that their target has asked for
// they are few, but a load is neither kept back nor lost for it: while it lasts the target is
// closed to callers at all instances, and weights have to be there in time.

// TargetLeavingError says that a target is asked nothing since it leaves.
type TargetLeavingError struct{ Target string }

// Error implements error.
func (e *TargetLeavingError) Error() string { return e.Target + " leaves or is gone" }

// BackoffError says that no load is begun at a target since it refused the last one and asked for
// rest.
type BackoffError struct {
	Target string
	Until  time.Time // when a load may begin
}

// Error implements error.
func (e *BackoffError) Error() string {
	return e.Target + " asks for rest, nothing is sent until " + e.Until.UTC().Format(time.RFC3339Nano)
}

// checkServing fails if a target leaves or is gone.
func (o *rolloutController) checkServing(t *catalog.Target) error {
	if latest := o.g.view.Load().Targets[t.ID]; latest == nil || latest.IsLeaving() {
		return &TargetLeavingError{Target: t.ID}
	}
	return nil
}

const (
	// maxBackoffPoll is the longest pause between two reports of a load under way in a rest.
	maxBackoffPoll = 3 * time.Second
	// deferFactor times the rest that a refused report or order brought is how long no other
	// load begins: callers, which that rest binds too, have the target for the greater part of it.
	deferFactor = 3
	// maxDeferTime bounds this: weights have to be there in time.
	maxDeferTime = 3 * time.Second
)

// pollPause is how long to wait before the next report of a load under way.
func (o *rolloutController) pollPause(t *catalog.Target) time.Duration {
	rest := o.g.breaker.Backoffs()[t.ID].Sub(o.g.now())
	return min(max(rest, loadPollInterval), maxBackoffPoll)
}

// deferLoads takes the rest that a target asked for as it refused a report or an order; 0: none.
func (o *rolloutController) deferLoads(t *catalog.Target, rest time.Duration) {
	if rest <= 0 {
		return
	}
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.deferredUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	o.deferredUntil[t.ID] = now.Add(min(deferFactor*rest, maxDeferTime))
}

// checkDeferred fails if a load at a target is held off.
func (o *rolloutController) checkDeferred(t *catalog.Target) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until := o.deferredUntil[t.ID]; o.g.now().Before(until) {
		return &BackoffError{Target: t.ID, Until: until}
	}
	return nil
}
