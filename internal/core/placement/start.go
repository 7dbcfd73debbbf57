package placement

import "time"

// A request may start on replaced weights only until the rollout's end, but how long it waits in its
// target's queue is only predicted. So the time until then goes along as the target's deadline, which makes
// the target refuse what is still queued. A deadline also ends what runs. So a request that is not expected to
// be complete by then goes without it if it is sent early enough; later it isn't sent there if the cut would
// lose it, and may otherwise have to go on elsewhere.

const (
	// startLead is how long before the rollout's end a request must have started: an instance learns of a
	// version some time after it was named, and the request takes up to boundedConnect to its target.
	startLead = 300 * time.Millisecond
	// boundedConnect is the longest connect for a request whose deadline may pass in the queue.
	boundedConnect = 150 * time.Millisecond
	// startMargin is how much longer than predicted a request may wait without missing its bound.
	startMargin = 700 * time.Millisecond
	// unboundedMargin is the same for a request without the deadline, which hardly any request exceeds.
	unboundedMargin = 1500 * time.Millisecond
	// maxQueueTime is how long a request may wait at all: callers give up then.
	maxQueueTime = 3 * time.Second
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
func (b StartBound) Expires() time.Duration {
	if !b.AsDeadline {
		return b.Within
	}
	return b.Within + startLead/2
}

// ConnectWithin returns the longest connect after which the deadline is not out of date as the request is sent;
// 0: any, since the request doesn't wait until that deadline.
func (b StartBound) ConnectWithin() time.Duration {
	if !b.AsDeadline || b.Within > maxQueueTime {
		return 0
	}
	return boundedConnect
}

// PredictedRun is what is predicted of a request at a target.
type PredictedRun struct {
	First        time.Duration // from its sending to its first response
	Run          time.Duration // from there to its last
	LostIfCutOff bool          // it can't go on elsewhere
}

// BoundStart returns the bound for a request that is sent to a target whose weights were replaced outdatedFor
// ago.
func BoundStart(outdatedFor, rolloutTimeout time.Duration, r PredictedRun) StartBound {
	if outdatedFor == 0 {
		return StartBound{}
	}
	b := StartBound{Within: max(rolloutTimeout-startLead-outdatedFor, 1)}
	b.AsDeadline = r.completesWithin(b) || !r.LostIfCutOff && r.First+unboundedMargin > b.Within
	return b
}

// completesWithin reports whether the response is expected to be complete by the bound.
func (r PredictedRun) completesWithin(b StartBound) bool { return r.First+r.Run <= b.Within }

// startsInTime reports whether the request is expected to start at the target within its bound, with a margin
// for the prediction's error.
func (t *Target) startsInTime(q *Query) bool {
	r := PredictedRun{First: time.Duration(t.FirstResponseMS * float64(time.Millisecond)), Run: q.RunTime, LostIfCutOff: q.LostIfCutOff}
	b := BoundStart(t.OutdatedFor, q.RolloutTimeout, r)
	margin := startMargin
	if !b.AsDeadline {
		margin = unboundedMargin
	}
	return b.Within == 0 || r.First+margin < b.Within
}
