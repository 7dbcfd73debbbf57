// Package admission decides how much of a target's memory, and how much queued prefill work, a
// request may find at a target that it is sent to, by the priority of the request among all
// requests to the same service. It also tells a refused caller when to return. The package does
// no I/O and reads no clock.
//
// Less urgent requests leave headroom, so that a burst of them neither delays nor preempts more
// urgent ones: a long prompt takes a quarter of a second of a target's time, and while it is read
// each step of all other runs takes several times as long.
package admission

import (
	"slices"
	"time"
)

// routePriorities is how many priorities of routes are told apart within one priority.
const routePriorities = 16

// CombinedRank returns the rank of a request at its target by its priority, which is its customer's or else
// its route's, and among requests of one priority by that of the route. So the routes of a
// customer keep their order where the customer's priority takes the place of theirs.
func CombinedRank(priority, routePriority int) int {
	return max(priority, 0)*routePriorities + min(max(routePriority, 0), routePriorities-1)
}

// Level is one of the ranks that prompts to a service have. A level is also named by its index:
// level 0 is the most urgent.
type Level struct {
	Rank      int           // 0 is the most urgent
	Objective time.Duration // tightest latency objective of the rank's routes; 0: they have none
}

// Levels are the levels of a service, the most urgent first.
type Levels []Level

// NewLevels returns the levels of a service whose routes have the given ranks and objectives. Ranks
// may repeat, and are in any order.
func NewLevels(routes []Level) Levels {
	var out Levels
	for _, r := range routes {
		r.Rank, r.Objective = max(r.Rank, 0), max(r.Objective, 0)
		i, found := slices.BinarySearchFunc(out, r.Rank, func(l Level, rank int) int { return l.Rank - rank })
		if !found {
			out = slices.Insert(out, i, r)
			continue
		}
		out[i].Objective = tighter(out[i].Objective, r.Objective)
	}
	return out
}

// tighter returns the shorter of two objectives, of which 0 means none.
func tighter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Prioritized reports whether requests differ in priority. If not, the package changes nothing.
func (l Levels) Prioritized() bool { return len(l) > 1 }

// Of returns the level of a rank: that of the nearest rank which is as urgent or less urgent. A
// rank less urgent than all routes' ranks belongs to the last level.
func (l Levels) Of(rank int) int {
	for i := range l {
		if l[i].Rank >= rank {
			return i
		}
	}
	return max(len(l)-1, 0)
}

// Share of a target's memory that the requests of a level may fill.
const (
	// levelOneShare leaves an eighth of the memory to requests of level 0, since the reports of
	// the other instances' work are up to 360 ms old: in that time a burst of urgent prompts
	// arrives before any instance knows of it.
	levelOneShare = 0.88
	// lowerLevelsShare is lower, so that level 1 is still admitted while the lower levels are refused.
	lowerLevelsShare = 0.72
	// sameLevelStep is how much more a caller that has waited may fill, and how much less a
	// customer above its fair share. Twice the step is less than the distance between levels, so
	// that these differences never exceed those of priority.
	sameLevelStep = 0.04
	// requestShare is the share of a target's memory that a request of a lower level counts as,
	// whatever its size. If its own size counted, small requests of its level would fill each gap
	// before it is large enough for a large one.
	requestShare = 0.2
	// queueShare is the part of the tightest objective of the more urgent levels that queued
	// prefill work may take for the last level. The rest is for the work that arrives before
	// reports name it, for the request's own prompt and for its first step.
	queueShare = 0.5
	// middleQueueShare is the same for the levels between: they are still admitted where the last
	// level has queued a long prompt.
	middleQueueShare = 1.0
)

// Request describes what the limits of a request depend on.
type Request struct {
	Rank           int  // its route's priority
	Waited         bool // its caller returns after a refusal
	AboveFairShare bool // its customer uses more than its fair share of the service
}

// Limits bound the load of the targets that a request may be sent to. The zero value sets no
// limits.
type Limits struct {
	Level       int
	MemoryShare float64 // share of a target's memory, the request included; 0: no limit
	// RequestShare is the share of the memory that the request counts as; 0: its own size.
	RequestShare float64
	QueueTime    time.Duration // time that the queued prefill work may take; 0: no limit
	Relaxed      bool          // the level is starved, and has the limits of the next more urgent one
}

// Limits returns the limits of a request.
func (l Levels) Limits(r Request) Limits {
	if !l.Prioritized() {
		return Limits{}
	}
	level := l.Of(r.Rank)
	out := Limits{Level: level, MemoryShare: memoryShare(level, r)}
	if level > 0 {
		out.RequestShare = requestShare
	}
	objective := time.Duration(0)
	for _, more := range l[:level] {
		objective = tighter(objective, more.Objective)
	}
	share := middleQueueShare
	if level == len(l)-1 {
		share = queueShare
	}
	out.QueueTime = time.Duration(share * float64(objective))
	return out
}

// memoryShare returns the share of a target's memory that a request of a level may fill.
func memoryShare(level int, r Request) float64 {
	share := 1.0
	switch {
	case level == 1:
		share = levelOneShare
	case level > 1:
		share = lowerLevelsShare
	}
	if r.Waited {
		share += sameLevelStep
	}
	if r.AboveFairShare {
		share -= sameLevelStep
	}
	return min(share, 1)
}

// maxSentRank is the least urgent rank that model servers accept.
const maxSentRank = 9

// SentRank returns the rank that is sent to the target, 0 being the most urgent; l are the ranks of the
// service. A late request
// falls behind others of its own rank, but not behind less urgent ones. If the ranks of the service
// do not all fit, twice each, into those that targets accept, the level takes the place of the rank.
func (l Levels) SentRank(rank int, late bool) int {
	if len(l) > 0 && 2*l[len(l)-1].Rank+1 > maxSentRank {
		rank = l.Of(rank)
	}
	rank *= 2
	if late {
		rank++
	}
	return min(rank, maxSentRank)
}

// A caller is assumed to return after a refusal if at least waitedTime, or waitedShare of the route's
// timeout if that is less, has passed before the request arrived. Both are shorter than the
// shortest Retry-After: half a second, or a sixth of the time left.
const (
	waitedTime  = 400 * time.Millisecond
	waitedShare = 0.15
)

// HasWaited reports whether a caller returns after a refusal, which shows in the time that it has
// left of its route's timeout. 0 means that the time is not known.
func HasWaited(left, timeout time.Duration) bool {
	return left > 0 && timeout > 0 && timeout-left >= min(waitedTime, time.Duration(waitedShare*float64(timeout)))
}
