package rollout

import "time"

// HolderReport is what the last known holder of the lease told the other instances.
type HolderReport struct {
	Holder     string        // name of the instance; "": none has told anything
	Process    uint64        // see Holder
	Notices    uint64        // that the holder had given with it, see LeaseValue
	Targets    []string      // to which it may have sent orders
	Guarded    []GuardedTime // targets that its own guard still covered
	ReceivedAt time.Time
	GuardAll   time.Duration // after ReceivedAt, how long its guard covers all targets
}

// isComplete reports whether the report names all targets to which the previous holder may have sent orders.
func (r HolderReport) isComplete(a Acquisition) bool {
	return r.Holder == a.Previous.Name && r.Process == a.Previous.Process && r.Notices >= a.Notices
}

// GuardedTime says for how much longer a target is guarded.
type GuardedTime struct {
	Target string
	For    time.Duration
}

// OrderGuard keeps orders of two holders to one target apart by the lease gap. A guard ends when its
// time is over and never before, whoever acquires the lease meanwhile. The zero value guards nothing. It
// is not safe for concurrent use.
type OrderGuard struct {
	all     time.Time            // until then all targets are guarded
	targets map[string]time.Time // by target, until when it is guarded
}

// Blocks reports whether a target must not get orders yet.
func (g *OrderGuard) Blocks(target string, now time.Time) bool {
	return now.Before(g.all) || now.Before(g.targets[target])
}

// LeaseAcquired guards the targets to which other holders may have sent orders within gap. A holder tells
// of a target before it sends it an order, and passes on what it guards itself, so that holders that
// follow one another within the gap know of all orders. If not all that the previous holder told has been
// received, all targets are guarded: every earlier order was sent before its last one.
func (g *OrderGuard) LeaseAcquired(a Acquisition, self Holder, gap time.Duration, report HolderReport) {
	if a.Previous.Name == "" || a.Previous == self {
		return
	}
	until := a.LastAct.Add(gap)
	if !report.isComplete(a) {
		g.guardAll(until)
		return
	}
	if !a.Previous.sharesMachine(self) {
		for _, target := range report.Targets {
			g.guard(target, until)
		}
	}
	g.guardAll(report.ReceivedAt.Add(report.GuardAll))
	for _, t := range report.Guarded {
		g.guard(t.Target, report.ReceivedAt.Add(t.For))
	}
}

func (g *OrderGuard) guardAll(until time.Time) {
	if until.After(g.all) {
		g.all = until
	}
}

func (g *OrderGuard) guard(target string, until time.Time) {
	if g.targets == nil {
		g.targets = map[string]time.Time{}
	}
	if until.After(g.targets[target]) {
		g.targets[target] = until
	}
}

// Remaining returns for how much longer all targets are guarded, and which are guarded beyond that.
func (g *OrderGuard) Remaining(now time.Time) (all time.Duration, targets []GuardedTime) {
	all = max(g.all.Sub(now), 0)
	for target, until := range g.targets {
		left := until.Sub(now)
		if left <= 0 {
			delete(g.targets, target)
			continue
		}
		if left > all {
			targets = append(targets, GuardedTime{Target: target, For: left})
		}
	}
	return all, targets
}
