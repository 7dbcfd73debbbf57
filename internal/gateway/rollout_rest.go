package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A rest that a target has asked of this instance binds its reports and orders as it does the
// requests of callers.

// RestsError says that a target is asked nothing since it has asked for rest.
type RestsError struct {
	Target string
	Until  time.Time // when it may be asked again
}

// Error implements error.
func (e *RestsError) Error() string {
	return e.Target + " asks for rest, nothing is sent until " + e.Until.UTC().Format(time.RFC3339Nano)
}

// LeavesError says that a target is asked nothing since it leaves.
type LeavesError struct{ Target string }

// Error implements error.
func (e *LeavesError) Error() string { return e.Target + " leaves or is gone" }

// mayAsk waits until a target may be asked for a report, or given an order. It fails if that
// leaves, or if the load's time is over before its rest.
func (o *rollout) mayAsk(ctx context.Context, t *catalog.Target) error {
	for {
		err := o.refrain(t)
		var rests *RestsError
		if !errors.As(err, &rests) || !wait.For(ctx, rests.Until.Sub(o.g.now())) {
			return err
		}
	}
}

// refrain says why a target must not be asked for a report, or given an order, now.
func (o *rollout) refrain(t *catalog.Target) error {
	if latest := o.g.view.Load().Targets[t.ID]; latest == nil || latest.Leaves() {
		return &LeavesError{Target: t.ID}
	}
	until := o.g.ejected.Asked()[t.ID]
	o.mu.Lock()
	defer o.mu.Unlock()
	if spared := o.spared[t.ID]; spared.After(until) {
		until = spared
	}
	if o.g.now().Before(until) {
		return &RestsError{Target: t.ID, Until: until}
	}
	return nil
}

// spareFactor times the rest that a refused report or order brought is how long no other
// follows: callers, which that rest binds too, have the target for the greater part of it.
const spareFactor = 3

// spare takes the rest that a target asked for as it refused a report or an order; 0: none.
func (o *rollout) spare(t *catalog.Target, rest time.Duration) {
	if rest <= 0 {
		return
	}
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.spared, func(_ string, until time.Time) bool { return !now.Before(until) })
	o.spared[t.ID] = now.Add(spareFactor * rest)
}

// endsLoad says whether a load that is followed ends with a report's failure. One that is lost
// is asked for again, until the load's time is over.
func endsLoad(err error) bool {
	var again *StartedAgainError
	var leaves *LeavesError
	var rests *RestsError
	return errors.As(err, &again) || errors.As(err, &leaves) || errors.As(err, &rests)
}
