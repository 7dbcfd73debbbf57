package gateway

import "github.com/shedhoist/shedhoist/internal/core/attempt"

// recordHealth reports an attempt's result to the target's circuit breaker. A caller that
// went away says nothing about the target, nor does the end of a bound of this instance's own; a
// target that was silent until the caller's deadline counts as failed.
func (x *exchange) recordHealth(at *attemptState, result attemptResult) {
	id := at.target.ID
	switch {
	case result.delivered:
		x.g.breaker.RecordResult(id, true)
	case x.endedByBound(at):
	case result.event == attempt.Refused:
		x.g.breaker.Eject(id, refusalEjectTime)
	case result.event == attempt.CallerGone:
	case result.event == attempt.NotSent && x.linksFailed(result.cause):
	default:
		x.g.breaker.RecordResult(id, false)
	}
}

// linksFailed reports whether a connect failed for the links of this instance or its peers, as far as it
// can tell: such a failure says nothing about the target.
func (x *exchange) linksFailed(err error) bool {
	if !x.relayed {
		return x.g.targetLinks.partitionedFrom(x.service)
	}
	return !failedAtTarget(err)
}
