package placement

import "time"

// A request may start on replaced weights only until the rollout's end, but how long it waits in its
// target's queue is only predicted. So the time until then goes along as the target's deadline, which makes
// the target refuse what is still queued. A deadline also ends what runs: a request that is lost if it is
// cut off gets it only if its response is expected to be complete by then; any other one goes on elsewhere.

const (
	// startLead is how long before the rollout's end a request must have started: an instance learns of a
	// version some time after it was named, and the request takes up to boundedConnect to its target.
	startLead = 300 * time.Millisecond
	// boundedConnect is the longest connect for a request whose deadline may pass in the queue.
	boundedConnect = 150 * time.Millisecond
	// startMargin is how much longer than predicted a request may wait without missing its bound.
	startMargin = 700 * time.Millisecond
	// unboundedMargin is how much longer than predicted a request may wait that gets no deadline since it runs
	// for too long: callers give up sooner.
	unboundedMargin = 3 * time.Second
)

// StartBound bounds when a request may start at a target with replaced weights. The zero value stands for
// a target with the newest weights, where there is no bound.
type StartBound struct {
	// Within is the time from the request's sending in which it has to start; 0: no bound.
	Within time.Duration
	// AsDeadline tells that Within is also the target's deadline for the whole response.
	AsDeadline bool
}

// Expires returns how long after its sending to give up a request that has not started: a target with the
// deadline has refused it before.
func (b StartBound) Expires() time.Duration { return b.Within + startLead/2 }

// ConnectWithin returns the longest connect after which the deadline is not out of date as the request is sent;
// 0: any, since callers give up long before that deadline.
func (b StartBound) ConnectWithin() time.Duration {
	if b.Within > unboundedMargin {
		return 0
	}
	return boundedConnect
}

// BoundStart returns the bound for a request that is sent to a target whose weights were replaced
// outdatedFor ago, and whose response is expected to be complete after a time.
func BoundStart(outdatedFor, rolloutTimeout, complete time.Duration, lostIfCutOff bool) StartBound {
	if outdatedFor == 0 {
		return StartBound{}
	}
	within := max(rolloutTimeout-startLead-outdatedFor, 1)
	return StartBound{Within: within, AsDeadline: !lostIfCutOff || complete <= within}
}

// startsInTime reports whether the request is expected to start at the target within its bound, with a margin
// for the prediction's error, and not to be lost by the deadline.
func (t *Target) startsInTime(q *Query) bool {
	if t.OutdatedFor == 0 {
		return true
	}
	margin := startMargin
	if q.LostIfCutOff {
		margin = min(max(q.RunTime, startMargin), unboundedMargin)
	}
	first := time.Duration(t.FirstResponseMS * float64(time.Millisecond))
	return first+margin < BoundStart(t.OutdatedFor, q.RolloutTimeout, first+q.RunTime, q.LostIfCutOff).Within
}
