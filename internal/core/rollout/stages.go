package rollout

import (
	"math"
	"time"
)

// Requests that run at most once are lost if their target loads weights while they run. Before
// its load a target therefore passes through stages, as far as the rollout deadline leaves time.

// Stage is the stage of a target that is to load weights.
type Stage uint8

// The stages, in order.
const (
	StageServing  Stage = iota // gets all requests
	StageClosing               // gets requests that run at most once only if no other target can take them
	StageCordoned              // gets no new requests
	StageWaiting               // cordoned, until its runs have ended
	StageOrdered               // the order to load may be sent
)

// Times of the stages.
const (
	// MaxClosing is the longest time that a target is closing: model streams last up to 5 s, and
	// most of those that run when closing begins have ended by then.
	MaxClosing = 3 * time.Second
	// CordonTime is how long a target is cordoned before its order: the other instances learn
	// of it within milliseconds, and most short responses end meanwhile.
	CordonTime = 500 * time.Millisecond
	// MaxWaiting is the longest wait for the runs of a cordoned target.
	MaxWaiting = 1500 * time.Millisecond
	// MaxLateness is the time that an order may take longer if it lets the runs finish: model
	// streams last 3 to 5 s.
	MaxLateness = 5 * time.Second
	// deadlineReserve is the time before the rollout deadline at which all loads are to have
	// ended: no request is sent to outdated weights in the last second, and a change of the
	// lease's holder takes 1.4 s.
	deadlineReserve = 2 * time.Second
	// InitialLoadTime is the assumed duration of a load until one is measured: targets load for
	// 0.9 s, and reports lag by 0.2 s.
	InitialLoadTime = 1200 * time.Millisecond
	// maxLoadTime bounds what is assumed after loads that waited for runs.
	maxLoadTime = 3 * time.Second
	// closingPerDelay is the ratio of the closing time to the delay that it causes in a rollout in
	// progress: targets close while others load, so that only those are held back for which a place
	// is free.
	closingPerDelay = 4
	// waitingFactor is how many times its equal part of the spare time one target may wait: after
	// closing, few targets have runs left to wait for. If all wait, later ones wait for less, since
	// the pace is recomputed.
	waitingFactor = 4
)

const (
	// closingPerLoad is how many targets close for each that may load at a time: the more there are,
	// the longer each is closing.
	closingPerLoad = 2
	// maxClosingShare is the largest share of the targets that close, unless more load at a time.
	// The others have to take all streams that run at most once.
	maxClosingShare = 0.4
)

// MaxClosingTargets returns how many of a model's targets may be closing at once.
func MaxClosingTargets(targets, maxLoads int) int {
	return min(closingPerLoad*maxLoads, max(int(maxClosingShare*float64(targets)), maxLoads))
}

// Progress is the state of a rollout that its pace depends on.
type Progress struct {
	// TimeLeft is the time until the rollout deadline of each load that has not ended,
	// ascending.
	TimeLeft []time.Duration
	Started  bool          // at least one target is cordoned or loads
	Passed   time.Duration // sum over these targets of the time since their cordon, without waiting
	MaxLoads int           // loads that may run at once
	Closing  int           // targets that may be closing at once
	Ahead    int           // targets that may be cordoned beyond MaxLoads
	LoadTime time.Duration // from an order to the end of its load
}

// Pace is how long the stages before an order may take. The zero Pace holds no target back and
// allows only the cordon.
type Pace struct {
	Closing time.Duration // a target is held back until it has been closing for so long
	Waiting time.Duration
	// Finish reports whether an order may let the runs that are left finish.
	Finish bool
}

// PaceOf returns the pace of a rollout. The rollout deadline comes first: the stages use only
// the time that the loads left do not need.
func PaceOf(p Progress) Pace {
	spare, loads := p.spareTime(), p.loadsLeft(len(p.TimeLeft))
	if spare <= 0 || loads <= 0 {
		return Pace{}
	}
	places := float64(p.MaxLoads + p.Ahead)
	// A longer closing time than this would hold back loads, because places become free sooner than
	// targets are closed.
	longest := min(MaxClosing, time.Duration(float64(p.Closing)/places*float64(p.perTarget())))
	pace := Pace{Closing: min(spare, longest), Finish: spare >= MaxLateness}
	if p.Started {
		pace.Closing = min(closingPerDelay*spare, longest)
		spare = max(spare-longest/closingPerDelay, 0)
	}
	pace.Waiting = min(time.Duration(waitingFactor*float64(spare)*places/loads), spare, MaxWaiting)
	return pace
}

// spareTime returns the time that the loads left do not need: the least over their deadlines.
func (p Progress) spareTime() time.Duration {
	spare := time.Duration(math.MaxInt64)
	for i, left := range p.TimeLeft {
		if i+1 == len(p.TimeLeft) || p.TimeLeft[i+1] > left { // the last load of each deadline decides
			spare = min(spare, left-deadlineReserve-p.timeFor(p.loadsLeft(i+1)))
		}
	}
	return spare
}

// perTarget returns how long a target is out of service without waiting.
func (p Progress) perTarget() time.Duration { return CordonTime + p.LoadTime }

// loadsLeft returns how many of the first n loads are left, less what has passed of those in
// progress.
func (p Progress) loadsLeft(n int) float64 {
	return max(float64(n)-float64(p.Passed)/float64(p.perTarget()), 0)
}

// timeFor returns the time that a number of loads needs without closing and waiting. It is bounded
// by the loads at a time and by the targets that are cordoned or load at a time. The last targets
// leave places unused, for half the time of one on average.
func (p Progress) timeFor(loads float64) time.Duration {
	byLoads := loads / float64(p.MaxLoads) * float64(p.LoadTime)
	byPlaces := loads / float64(p.MaxLoads+p.Ahead) * float64(p.perTarget())
	return time.Duration(max(byLoads, byPlaces)) + p.perTarget()/2
}

// Next returns the stage of a target that has been in a stage for some time, with a number of
// runs left at it. Planner.Plan limits how many targets are cordoned.
func (p Pace) Next(s Stage, in time.Duration, runs int) Stage {
	switch {
	case s == StageServing && p.Closing > 0:
		return StageClosing
	case s == StageServing || s == StageClosing && in >= p.Closing:
		return StageCordoned
	case s == StageCordoned && in >= CordonTime && p.Waiting > 0:
		return StageWaiting
	case s == StageCordoned && in >= CordonTime, s == StageWaiting && (runs == 0 || in >= p.Waiting):
		return StageOrdered
	}
	return s
}

// SmoothLoadTime returns the assumed duration of a load after one has been measured.
func SmoothLoadTime(assumed, measured time.Duration) time.Duration {
	return (3*assumed + min(measured, maxLoadTime)) / 4
}

// Upcoming returns the names of the first count targets that Plan would return beyond its limits,
// in the order in which it will return them. They are to be closed also when the pace leaves no time
// to hold them back: by the time that they are cordoned, some of their streams have ended.
func (p *Planner) Upcoming(targets []Target, desired map[string]DesiredVersion, count int) []string {
	var out []string
	seen := map[string]bool{}
	for _, t := range targets {
		if len(out) >= count {
			break
		}
		if _, due := p.dueVersion(t, desired); !due || seen[t.Name] {
			continue
		}
		seen[t.Name] = true
		out = append(out, t.Name)
	}
	return out
}

// Closing holds since when targets are closing, by name.
type Closing map[string]time.Time

// Update makes exactly the named targets closing, and reports whether that is a change.
func (c Closing) Update(names []string, now time.Time) (changed bool) {
	named := make(map[string]bool, len(names))
	for _, name := range names {
		named[name] = true
		if _, known := c[name]; !known {
			c[name], changed = now, true
		}
	}
	for name := range c {
		if !named[name] {
			delete(c, name)
			changed = true
		}
	}
	return changed
}
