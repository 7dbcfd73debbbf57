package gateway

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// The stages of a target before its order, see rollout.Stage.

// plannedLoad is a load from its planning on.
type plannedLoad struct {
	rollout.Load
	version   uint64
	target    *catalog.Target
	plannedAt time.Time
	notice    uint64        // that tells of the target, see rollout.LeaseValue
	closed    time.Duration // how long the target was closing
	cordoned  time.Duration // from the cordon to the wait for runs
	waited    time.Duration // for runs to end
	slotWait  time.Duration // for a free load slot
	runsLeft  int           // runs that the target reported before the order
	finish    bool          // the order let these runs finish
}

// loadProgress holds when a target was cordoned, and when its order was due.
type loadProgress struct{ cordonedAt, orderedAt time.Time }

// passed returns how much of the time that a load needs has passed.
func (l *loadProgress) passed(now time.Time, loadTime time.Duration) time.Duration {
	if l.orderedAt.IsZero() {
		return min(now.Sub(l.cordonedAt), rollout.CordonTime)
	}
	return rollout.CordonTime + min(now.Sub(l.orderedAt), loadTime)
}

// usesStages reports whether the targets of a service pass through the stages: routes send it streams
// that run at most once.
func (g *Gateway) usesStages(v *View, service string) bool {
	return g.settings().Policy.RolloutStages && v.Config.HasAtMostOnceStreams(service)
}

// holdTargets holds back the targets that have not been closing for long enough, and sets the pace;
// o.mu is held. Targets for which the stages do not apply are not held.
func (o *rolloutController) holdTargets(v *View, targets []rollout.Target, now time.Time) {
	progress := rollout.Progress{Started: len(o.loading) > 0, MaxLoads: o.maxLoads, Closing: o.maxClosing, Ahead: o.maxLoads / loadsPerCordonedTarget, LoadTime: o.loadTime}
	for _, l := range o.loading {
		progress.Passed += l.passed(now, o.loadTime)
	}
	within := o.g.settings().RolloutWithin
	for _, t := range v.Outdated { // also those that must not be loaded yet
		for _, m := range t.Models {
			if since := v.NamedVersions[m.Model].OutdatedFor(m.Version, now); since > 0 {
				progress.TimeLeft = append(progress.TimeLeft, within-since)
			}
		}
	}
	slices.Sort(progress.TimeLeft)
	o.pace = rollout.PaceOf(progress)
	for i, t := range targets {
		if !o.g.usesStages(v, v.Targets[t.Name].Service) {
			continue
		}
		stage, in := rollout.StageServing, time.Duration(0)
		if since, isClosing := o.closing[t.Name]; isClosing {
			stage, in = rollout.StageClosing, now.Sub(since)
		}
		targets[i].Held = o.pace.Next(stage, in, 0) < rollout.StageCordoned
	}
}

// updateClosing names the targets that are cordoned next, and reports whether they have changed;
// o.mu is held.
func (o *rolloutController) updateClosing(v *View, targets []rollout.Target, desired map[string]rollout.DesiredVersion, now time.Time) bool {
	staged := slices.DeleteFunc(slices.Clone(targets), func(t rollout.Target) bool { return !o.g.usesStages(v, v.Targets[t.Name].Service) })
	free := o.maxLoads + o.maxLoads/loadsPerCordonedTarget - len(o.loading)
	return o.closing.Update(o.planner.Upcoming(staged, desired, max(o.maxClosing, free)), now)
}

// dropClosing forgets which targets are closing; views drop them after cordonTTL.
func (o *rolloutController) dropClosing() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.closing)
}

// startLoads records planned loads as begun and returns them; o.mu is held.
func (o *rolloutController) startLoads(v *View, loads []rollout.Load, now time.Time) []*plannedLoad {
	var out []*plannedLoad
	if len(loads) > 0 {
		o.notices++
	}
	for _, l := range loads {
		version, err := strconv.ParseUint(l.Version, 10, 64)
		if err != nil {
			panic(err) // unreachable: versionText formatted it
		}
		p := &plannedLoad{Load: l, version: version, target: v.Targets[l.Target], plannedAt: now, notice: o.notices}
		if since, wasClosing := o.closing[l.Target]; wasClosing {
			p.closed = now.Sub(since)
		}
		o.loading[l.Target] = &loadProgress{cordonedAt: now}
		out = append(out, p)
	}
	return out
}

// runLoad performs one load and logs its outcome.
func (o *rolloutController) runLoad(ctx context.Context, l *plannedLoad) {
	outcome := o.performLoad(ctx, l)
	o.mu.Lock()
	delete(o.loading, l.Target)
	o.planner.LoadEnded(l.Load, false)
	o.announce()
	o.mu.Unlock()
	o.g.log.WithField("target", l.Target).WithField("model", l.Model).WithField("version", l.version).WithField("outcome", outcome).
		WithField("ms", o.g.now().Sub(l.plannedAt).Milliseconds()).WithField("closing_ms", l.closed.Milliseconds()).WithField("cordon_ms", l.cordoned.Milliseconds()).
		WithField("wait_ms", l.waited.Milliseconds()).WithField("slot_wait_ms", l.slotWait.Milliseconds()).WithField("runs_left", l.runsLeft).WithField("finish_runs", l.finish).Info("load ended")
}

// performLoad waits for a target's cordon to take effect and for its runs to end, sends the order
// and waits until the version is loaded. It returns the outcome for the log.
func (o *rolloutController) performLoad(ctx context.Context, l *plannedLoad) string {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	cordonedAt := o.g.now()
	wait.For(ctx, rollout.CordonTime)
	l.cordoned = o.g.now().Sub(cordonedAt)
	if err := o.awaitRuns(ctx, l); err != nil {
		return err.Error()
	}
	slotWaitSince := o.g.now()
	for !o.acquireSlot(l.Target) {
		if !wait.For(ctx, rolloutTick/2) {
			return "no free load slot in time"
		}
	}
	defer o.releaseSlot()
	l.slotWait = o.g.now().Sub(slotWaitSince)
	t := l.target
	if err := o.checkDeferred(t); err != nil {
		return err.Error()
	}
	before, err := o.fetchReport(ctx, t)
	if err != nil {
		return "no report: " + err.Error()
	}
	o.updateVersion(l)
	if o.recordIfLoaded(before, l.Model, l.version, t) {
		return "already loaded"
	}
	if before.Notice.Leaving {
		return (&TargetLeavingError{Target: t.ID}).Error()
	}
	orderedAt := o.g.now()
	l.runsLeft = before.Running + before.Queued
	losesRuns := l.runsLeft > 0 && o.g.hasAtMostOncePrompts(t.ID)
	l.finish = losesRuns && o.paceFor(t).Finish
	if refusal := o.sendOrder(ctx, l, before.OrderSeq); refusal != "" {
		return refusal
	}
	if losesRuns && !l.finish {
		metric.RolloutInterrupted.Inc()
	}
	outcome := o.awaitLoad(ctx, l.Model, l.version, t, before.OrderSeq)
	if outcome == loadDone {
		o.noteLoadTime(o.g.now().Sub(orderedAt))
	}
	return outcome
}

// Outcomes of a load.
const (
	loadDone = "done"
	// loadSuperseded: the target carried out another order, which was delivered late.
	loadSuperseded = "another order came first"
)

// updateVersion makes a load that is not ordered yet load the newest version named meanwhile.
func (o *rolloutController) updateVersion(l *plannedLoad) {
	v := o.g.view.Load()
	if o.g.usesStages(v, l.target.Service) {
		l.version = max(l.version, v.NamedVersions[l.Model].Newest)
	}
}

// hasAtMostOncePrompts reports whether prompts that run at most once are known to run at a target: this
// instance's own, or those in the load reports of its peers, which cover cordoned targets only.
func (g *Gateway) hasAtMostOncePrompts(id string) bool {
	return g.upstream.inflight.Get(id).AtMostOncePrompts.Load() > 0 || g.peerAtMostOncePrompts.Has(loadreport.KeyOf(id), g.now())
}

// ownAtMostOncePrompts returns the cordoned targets at which this instance's prompts run that run at most
// once.
func (g *Gateway) ownAtMostOncePrompts() []loadreport.Key {
	var out []loadreport.Key
	v := g.view.Load()
	for id := range v.Cordoned {
		if t := v.Targets[id]; t == nil || !g.usesStages(v, t.Service) {
			continue
		}
		if g.upstream.inflight.Get(id).AtMostOncePrompts.Load() > 0 {
			out = append(out, loadreport.KeyOf(id))
		}
	}
	return out
}

// awaitRuns waits until no prompts that run at most once are known to run at a cordoned target, or
// its report says that nothing runs or waits there, for as long as the pace allows. It fails if the
// target must not be loaded now, or ctx has ended.
func (o *rolloutController) awaitRuns(ctx context.Context, l *plannedLoad) error {
	since := o.g.now()
	stage, runs, nextReport := rollout.StageCordoned, -1, since // no report yet
	for {
		now := o.g.now()
		in := now.Sub(since)
		if stage == rollout.StageCordoned {
			in = l.cordoned
		}
		stage = o.paceFor(l.target).Next(stage, in, runs)
		if stage != rollout.StageWaiting || !o.g.hasAtMostOncePrompts(l.target.ID) {
			break
		}
		if !now.Before(nextReport) {
			r, err := o.fetchReport(ctx, l.target)
			var restarted *TargetRestartedError
			var leaving *TargetLeavingError
			if errors.As(err, &restarted) || errors.As(err, &leaving) {
				return err
			}
			if err := o.checkDeferred(l.target); err != nil {
				return err
			}
			if err == nil {
				runs = r.Running + r.Queued
			}
			nextReport = now.Add(o.pollPause(l.target)) // may be longer than the wait, in backoff
		}
		if runs != 0 && !wait.For(ctx, loadPollInterval) {
			return ctx.Err()
		}
	}
	l.waited = o.g.now().Sub(since)
	if runs >= 0 {
		metric.RolloutWaits.Update(l.waited.Seconds())
	}
	return nil
}

// paceFor returns the pace of the stages of a target; zero if they don't apply to it.
func (o *rolloutController) paceFor(t *catalog.Target) rollout.Pace {
	if !o.g.usesStages(o.g.view.Load(), t.Service) {
		return rollout.Pace{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pace
}

// noteLoadTime records how long a load took from its order on.
func (o *rolloutController) noteLoadTime(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loadTime = rollout.SmoothLoadTime(o.loadTime, took)
}

// acquireSlot takes a load slot for a target if one is free.
func (o *rolloutController) acquireSlot(target string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runningLoads >= o.maxLoads {
		return false
	}
	o.runningLoads++
	if l := o.loading[target]; l != nil {
		l.orderedAt = o.g.now()
	}
	return true
}

// releaseSlot returns a load slot.
func (o *rolloutController) releaseSlot() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runningLoads--
}
