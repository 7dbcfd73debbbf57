package gateway

import (
	"maps"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Reports and orders are this instance's own requests. In a rest that their target has asked for
// they are few, but a load is neither kept back nor lost for it: while it lasts the target is
// closed to callers at all instances, and weights have to be there in time.

// LeavesError says that a target is asked nothing since it leaves.
type LeavesError struct{ Target string }

// Error implements error.
func (e *LeavesError) Error() string { return e.Target + " leaves or is gone" }

// RestsError says that no load is begun at a target since it refused the last one and asked for
// rest.
type RestsError struct {
	Target string
	Until  time.Time // when a load may begin
}

// Error implements error.
func (e *RestsError) Error() string {
	return e.Target + " asks for rest, nothing is sent until " + e.Until.UTC().Format(time.RFC3339Nano)
}

// stays fails if a target leaves or is gone.
func (o *rolloutController) stays(t *catalog.Target) error {
	if latest := o.g.view.Load().Targets[t.ID]; latest == nil || latest.IsLeaving() {
		return &LeavesError{Target: t.ID}
	}
	return nil
}

const (
	// restPoll is the longest pause between two reports of a load under way in a rest.
	restPoll = 3 * time.Second
	// holdOffFactor times the rest that a refused report or order brought is how long no other
	// load begins: callers, which that rest binds too, have the target for the greater part of it.
	holdOffFactor = 3
	// holdOffMost bounds this: weights have to be there in time.
	holdOffMost = 3 * time.Second
)

// pollPause is how long to wait before the next report of a load under way.
func (o *rolloutController) pollPause(t *catalog.Target) time.Duration {
	rest := o.g.ejected.Backoffs()[t.ID].Sub(o.g.now())
	return min(max(rest, loadPoll), restPoll)
}

// holdOff takes the rest that a target asked for as it refused a report or an order; 0: none.
func (o *rolloutController) holdOff(t *catalog.Target, rest time.Duration) {
	if rest <= 0 {
		return
	}
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.heldOff, func(_ string, until time.Time) bool { return !now.Before(until) })
	o.heldOff[t.ID] = now.Add(min(holdOffFactor*rest, holdOffMost))
}

// mayBegin fails if a load at a target is held off.
func (o *rolloutController) mayBegin(t *catalog.Target) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until := o.heldOff[t.ID]; o.g.now().Before(until) {
		return &RestsError{Target: t.ID, Until: until}
	}
	return nil
}
