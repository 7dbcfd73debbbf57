package gateway

import (
	"context"
	"errors"
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

// mayAsk waits until a target may be asked for a report, or given an order. It fails if the
// load's time is over before that.
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
	if until, asks := o.g.ejected.Asked()[t.ID]; asks {
		return &RestsError{Target: t.ID, Until: until}
	}
	return nil
}

// endsLoad says whether a load that is followed ends with a report's failure. One that is lost
// is asked for again, until the load's time is over.
func endsLoad(err error) bool {
	var again *StartedAgainError
	var rests *RestsError
	return errors.As(err, &again) || errors.As(err, &rests)
}
