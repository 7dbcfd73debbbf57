package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Bounds on when prompts start at targets with replaced weights, see placement.StartBound.

// NotStartedError reports a request that did not start at its target before the target's weights were
// replaced for too long.
type NotStartedError struct {
	Target string
	Within time.Duration
}

// Error implements error.
func (e *NotStartedError) Error() string {
	return "target " + e.Target + ": request did not start within " + strconv.FormatInt(e.Within.Milliseconds(), 10) + " ms on replaced weights"
}

// runTime returns the time expected from the first event of the request's response to its last.
func (x *exchange) runTime() time.Duration {
	p := x.call.Prompt
	if p == nil {
		return 0
	}
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	return x.g.predictor.RunTime(p.MaxOutput)
}

// startBoundAt returns the bound on the request's start if it is sent to a target now.
func (x *exchange) startBoundAt(t *catalog.Target) (b placement.StartBound, outdatedFor time.Duration) {
	p := x.call.Prompt
	if p == nil {
		return placement.StartBound{}, 0
	}
	outdatedFor = x.view.NamedVersions[p.Model].OutdatedFor(t.WeightVersion(p.Model), x.g.now())
	r := placement.PredictedRun{First: time.Duration(x.predictedMS * float64(time.Millisecond)), Run: x.runTime(), LostIfCutOff: x.lostIfCutOff()}
	return placement.BoundStart(outdatedFor, x.g.settings().RolloutWithin, r), outdatedFor
}

// boundStart bounds the start of an attempt: it is given up if it has not started by then, or if the connect takes so
// long that the deadline is out of date as it is sent. The returned function ends this.
func (x *exchange) boundStart(at *attemptState, cancel context.CancelFunc) (stop func()) {
	x.startBound, x.outdatedFor = x.startBoundAt(at.target)
	if x.startBound.Within == 0 {
		return func() {}
	}
	at.startTimer = time.AfterFunc(x.startBound.Expires(), func() {
		at.notStarted.Store(true)
		cancel()
	})
	limit := x.startBound.ConnectWithin()
	if limit == 0 {
		return func() { at.startTimer.Stop() }
	}
	connectTimer := time.AfterFunc(limit, func() {
		if !at.connObtained.Load() {
			cancel()
		}
	})
	return func() {
		at.startTimer.Stop()
		connectTimer.Stop()
	}
}

// remainingAtTarget returns the time that a target gets for the request.
func (x *exchange) remainingAtTarget() time.Duration {
	left := x.deadline.Sub(x.g.now())
	if x.startBound.AsDeadline {
		return min(left, x.startBound.Within)
	}
	return left
}

// endedByBound reports whether an attempt ended since its bound passed, which says nothing about its target's health.
func (x *exchange) endedByBound(at *attemptState) bool {
	return at.notStarted.Load() || x.startBound.AsDeadline && x.g.now().Sub(at.startedAt) >= x.startBound.Within
}

// withNotStarted returns the result of an attempt, with its cause if it was given up since it had not started.
func (x *exchange) withNotStarted(at *attemptState, result attemptResult) attemptResult {
	if result.delivered || !at.notStarted.Load() {
		return result
	}
	metric.NotStartedInTime.Inc()
	result.cause = &NotStartedError{Target: at.target.ID, Within: x.startBound.Within}
	return result
}

// learnRunTime learns from a complete response how long responses take from their first event on. Slow
// callers delay what follows.
func (x *exchange) learnRunTime(at *attemptState) {
	p := x.call.Prompt
	if p == nil || len(x.triedTargets) > 1 || x.out.slowest > 0 {
		return
	}
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	x.g.predictor.ObserveRun(p.MaxOutput, x.g.now().Sub(at.firstByteAt))
}

// withStartFields adds to a log line for how long the weights of the last tried target had been replaced when the
// request was sent, and the bound on its start.
func (x *exchange) withStartFields(e *log.Entry) *log.Entry {
	if x.startBound.Within == 0 {
		return e
	}
	return e.WithField("weights_replaced_ms", x.outdatedFor.Milliseconds()).WithField("start_within_ms", x.startBound.Within.Milliseconds()).
		WithField("start_deadline", x.startBound.AsDeadline)
}
