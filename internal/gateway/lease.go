package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// leaseParams let a contender take over within 1.4 s after the holder has crashed. A
// holder gives orders for 600 ms after it has written the lease, which is time for a few
// calls, so the orders of two holders are at least 800 ms apart. Targets that the former
// holder may have given orders to get none for longer, see rollout.OrderGuard.
var leaseParams = rollout.LeaseParams{Term: time.Second, Margin: 400 * time.Millisecond, RenewInterval: 250 * time.Millisecond}

// maintainLease acquires or renews the lease if that is due. It is called by the rollout loop
// only, so that calls never overlap.
func (o *rolloutController) maintainLease(ctx context.Context) {
	o.mu.Lock()
	step, version := o.lease.NextStep(o.g.now())
	o.mu.Unlock()
	switch step {
	case rollout.StepRead:
		if !o.leaseWatched.Load() && o.g.now().Sub(o.lastLeaseTry) >= leaseRenewInterval {
			o.readLease(ctx)
		}
	case rollout.StepWrite:
		o.writeLease(ctx, platform.Version(version))
	}
}

// awaitLease returns the fencing token for an order that is due. If the lease is about to lapse, or
// does not name the notice of the order's target yet, it waits for the rollout loop to renew it.
func (o *rolloutController) awaitLease(ctx context.Context, notice uint64) (token uint64, held bool) {
	for range renewTries {
		o.mu.Lock()
		token, held = o.lease.Held(o.g.now())
		held = held && o.lease.Covers(notice)
		o.mu.Unlock()
		if held {
			return token, true
		}
		o.renewWanted.Store(true)
		if !wait.For(ctx, rolloutTick/2) {
			break
		}
	}
	return 0, false
}

func (o *rolloutController) readLease(ctx context.Context) {
	o.lastLeaseTry = o.g.now()
	obj, err := o.g.store.Get(ctx, leaseKind, leaseName)
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		o.g.log.WithError(err).Warn("failed to read the lease")
		return
	}
	o.recordLease(obj)
}

// recordLease records the lease's object as the store returned it.
func (o *rolloutController) recordLease(obj platform.NamedObject) {
	var value rollout.LeaseValue
	if obj.Version != 0 {
		if err := json.Unmarshal(obj.Value, &value); err != nil {
			o.g.log.WithError(err).Error("lease is not readable, assuming that another instance holds it")
			value.Name = "unreadable"
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.Observe(value, uint64(obj.Version), o.g.now())
	o.applyAcquisition()
}

func (o *rolloutController) writeLease(ctx context.Context, expected platform.Version) {
	start := o.g.now()
	o.lastLeaseTry = start
	o.mu.Lock()
	value := o.lease.BeginWrite(start, o.notices)
	o.mu.Unlock()
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: strings and numbers always marshal
	}
	version, err := o.g.store.Put(ctx, leaseKind, leaseName, data, expected)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lease.WriteFailed()
		o.leaseWatched.Store(false) // read the lease: the write may have taken effect
		o.g.log.WithError(err).Warn("failed to write the lease")
		return
	}
	o.lease.WriteSucceeded(uint64(version))
	o.applyAcquisition()
}

// applyAcquisition begins the work of a holder if the lease has just been acquired; o.mu is held.
func (o *rolloutController) applyAcquisition() {
	a, acquired := o.lease.TakeAcquired()
	if !acquired {
		return
	}
	o.planner = rollout.NewPlanner(loadTimeout)
	clear(o.closing)
	o.loaded, o.fencingToken, o.updateSeq = nil, a.Token, 0
	o.notices++ // of the guard
	v := o.g.view.Load()
	o.guard.LeaseAcquired(a, o.self, o.g.settings().LeaseGap, v.Rollout.report(v.RolloutReceivedAt))
	all, targets := o.guard.Remaining(o.g.now())
	o.g.log.WithField("token", a.Token).WithField("before", a.Previous.Name).WithField("same_process", a.Previous == o.self).
		WithField("fenced", len(targets)).WithField("fence_all_ms", all.Milliseconds()).Info("lease for orders taken")
}

// watchLease observes other instances' writes of the lease, so that a contender knows for how
// long it has not been renewed. It reads the lease once, and watches it while a rollout is in
// progress.
func (o *rolloutController) watchLease(ctx context.Context) {
	revision, failures := platform.Version(0), 0
	for ctx.Err() == nil {
		err := o.watchLeaseOnce(ctx, &revision)
		o.leaseWatched.Store(err == nil)
		if err == nil {
			failures = 0
			continue
		}
		revision = 0 // list again: an own write may have failed meanwhile
		failures++
		wait.For(ctx, retryPause(failures))
	}
}

func (o *rolloutController) watchLeaseOnce(ctx context.Context, revision *platform.Version) error {
	v := o.g.view.Load()
	contends := !o.g.isJoining() && rankOf(v.Orderers, o.g.settings().Name, leaseName) < maxContenders
	if !contends || *revision != 0 && len(v.Outdated) == 0 {
		wait.For(ctx, rolloutTick) // the lease changes only during rollouts
		return nil
	}
	if *revision == 0 {
		snapshot, err := o.g.store.List(ctx, leaseKind)
		if err != nil {
			return err
		}
		if len(snapshot.Objects) == 0 {
			o.recordLease(platform.NamedObject{})
		}
		for _, obj := range snapshot.Objects {
			o.recordLease(obj)
		}
		*revision = snapshot.Revision
		return nil
	}
	c, err := o.g.store.Watch(ctx, leaseKind, *revision, leaseWatchTimeout)
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		*revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	for _, ch := range c.Changes {
		if !ch.Deleted {
			o.recordLease(ch.NamedObject)
		}
	}
	*revision = max(*revision, c.Revision)
	return nil
}
