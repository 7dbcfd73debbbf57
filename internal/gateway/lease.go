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
// holder may have given orders to get none for longer, see handoverGuard.
var leaseParams = rollout.LeaseParams{Term: time.Second, Margin: 400 * time.Millisecond, RenewInterval: 250 * time.Millisecond}

// leaseValue is the value of the lease's object in the store.
type leaseValue struct {
	Holder string `json:"holder"`
	// Renewals makes each renewal a change: the store ignores writes that change
	// nothing, and contenders must see that the holder is alive.
	Renewals uint64 `json:"renewals"`
}

// handoverGuard prevents orders of a new holder to targets to which the former holder may
// have sent orders recently.
type handoverGuard struct {
	until time.Time
	all   bool            // it is not known which targets those are: all are guarded
	ids   map[string]bool // targets that the former holder cordoned or loaded
}

// blocks reports whether a target must not get orders yet.
func (guard handoverGuard) blocks(id string, now time.Time) bool {
	return now.Before(guard.until) && (guard.all || guard.ids[id])
}

// newHandoverGuard returns the guard after another holder, whose last order was sent no later
// than lastAct. Its targets are known from its rollout update, which it announces before it
// gives an order.
func newHandoverGuard(holder string, lastAct time.Time, gap time.Duration, update RolloutUpdate) handoverGuard {
	guard := handoverGuard{until: lastAct.Add(gap), all: update.Holder != holder, ids: map[string]bool{}}
	for _, id := range update.Cordoned {
		guard.ids[id] = true
	}
	for _, a := range update.Loaded {
		guard.ids[a.Target] = true
	}
	return guard
}

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

// awaitLease returns the fencing token for an order that is due. If the lease is about to
// lapse, it waits for the rollout loop to renew it.
func (o *rolloutController) awaitLease(ctx context.Context) (token uint64, held bool) {
	for range renewTries {
		o.mu.Lock()
		token, held = o.lease.Held(o.g.now())
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
	var value leaseValue
	if obj.Version != 0 {
		if err := json.Unmarshal(obj.Value, &value); err != nil {
			o.g.log.WithError(err).Error("lease is not readable, assuming that another instance holds it")
			value.Holder = "unreadable"
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.Observe(value.Holder, uint64(obj.Version), o.g.now())
}

func (o *rolloutController) writeLease(ctx context.Context, expected platform.Version) {
	o.renewals++
	data, err := json.Marshal(leaseValue{Holder: o.g.settings().Name, Renewals: o.renewals})
	if err != nil {
		panic(err) // unreachable: a string and a number always marshal
	}
	start := o.g.now()
	o.lastLeaseTry = start
	previous, observedSince := o.lastHolder()
	version, err := o.g.store.Put(ctx, leaseKind, leaseName, data, expected)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lease.WriteFailed()
		o.leaseWatched.Store(false) // read the lease: the write may have taken effect
		o.g.log.WithError(err).Warn("failed to write the lease")
		return
	}
	o.lease.WriteSucceeded(uint64(version), start)
	if o.lease.TakeAcquired() {
		o.planner = rollout.NewPlanner(loadTimeout)
		clear(o.closing)
		o.loaded, o.fencingToken, o.updateSeq, o.guard = nil, uint64(version), 0, handoverGuard{}
		if previous != "" && previous != o.g.settings().Name {
			lastAct := observedSince.Add(leaseParams.Term - leaseParams.Margin)
			o.guard = newHandoverGuard(previous, lastAct, o.g.settings().LeaseGap, o.g.view.Load().Rollout)
		}
		o.g.log.WithField("token", uint64(version)).WithField("before", previous).WithField("fenced", len(o.guard.ids)).
			WithField("fence_all", o.guard.all).WithField("fence_ms", max(o.guard.until.Sub(o.g.now()), 0).Milliseconds()).Info("lease for orders taken")
	}
}

// lastHolder returns the last observed holder of the lease, and when the lease was last seen to
// change.
func (o *rolloutController) lastHolder() (holder string, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Holder()
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
