package dispatch

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// recordBackoff records the backoff that a target requested by refusing a request
// with a Retry-After. Until it ends, nothing is sent to the target, even if there
// is no other target.
func (d *Dispatcher) recordBackoff(breakers *breaker.Set, name, request string, err error) {
	var refused *target.RefusedError
	if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		return
	}
	until, changed := breakers.RequestBackoff(name, refused.RetryAfter)
	if !changed {
		return
	}
	d.Log.WithField("target", name).WithField("request", request).WithField("rest_ms", refused.RetryAfter.Milliseconds()).
		WithField("until", until.UTC().Format(time.RFC3339Nano)).Info("target asks for rest")
}

// backoffTargets returns the names of the targets in backoff.
func backoffTargets(breakers *breaker.Set) []string {
	var out []string
	for name := range breakers.Backoffs() {
		out = append(out, name)
	}
	return out
}

// noTargetVerdict ends a request for which no target is left. A request that did not
// run is reported as overloaded if targets that could serve it are in backoff.
func noTargetVerdict(machine *attempt.Request, inBackoff bool) attempt.Verdict {
	v := machine.NoTarget()
	if inBackoff && v.Execution == problem.NotRun {
		v.Kind = problem.Overloaded
	}
	return v
}
