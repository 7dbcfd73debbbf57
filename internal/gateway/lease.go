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

// leaseParams make a contender take over from a holder that died within 1.4 s; a
// holder acts for 600 ms after a write of the lease, which is a few calls. Two
// holders are then 800 ms apart at least. Targets that the first one may have
// given orders to are left alone for longer, see handoverGuard.
var leaseParams = rollout.LeaseParams{Term: time.Second, Margin: 400 * time.Millisecond, RenewInterval: 250 * time.Millisecond}

// leaseValue is the lease's object.
type leaseValue struct {
	Holder string `json:"holder"`
	// Renewals makes each renewal a change: the store ignores writes that change
	// nothing, and a contender must see that the holder lives.
	Renewals uint64 `json:"renewals"`
}

// handoverGuard keeps orders of a new holder away from targets to which the one before
// may have sent some lately.
type handoverGuard struct {
	until time.Time
	all   bool            // it is not known which targets those are
	ids   map[string]bool // those that it closed
}

// blocks says whether a target must not get orders yet.
func (f handoverGuard) blocks(id string, now time.Time) bool {
	return now.Before(f.until) && (f.all || f.ids[id])
}

// newHandoverGuard builds the fence that a hold of another leaves: its last order was
// sent no later than lastAct. What it did is known by its news, which it tells
// before it gives an order.
func newHandoverGuard(holder string, lastAct time.Time, gap time.Duration, news RolloutUpdate) handoverGuard {
	f := handoverGuard{until: lastAct.Add(gap), all: news.Holder != holder, ids: map[string]bool{}}
	for _, id := range news.Cordoned {
		f.ids[id] = true
	}
	for _, a := range news.Loaded {
		f.ids[a.Target] = true
	}
	return f
}

// maintainLease takes or renews the lease if that is due. One call at a time: only
// the loop makes it.
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

// awaitLease returns the fencing token for an order that is due. Where the lease is
// about to lapse it waits for the loop to renew it.
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
		o.g.log.WithError(err).Warn("lease not read")
		return
	}
	o.recordLease(obj)
}

// recordLease takes the lease's object as the store told it.
func (o *rolloutController) recordLease(obj platform.NamedObject) {
	var v leaseValue
	if obj.Version != 0 {
		if err := json.Unmarshal(obj.Value, &v); err != nil {
			o.g.log.WithError(err).Error("lease not readable, taken for another's")
			v.Holder = "unreadable"
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.Observe(v.Holder, uint64(obj.Version), o.g.now())
}

func (o *rolloutController) writeLease(ctx context.Context, want platform.Version) {
	o.renewals++
	data, err := json.Marshal(leaseValue{Holder: o.g.settings().Name, Renewals: o.renewals})
	if err != nil {
		panic(err) // a string and a number always marshal
	}
	start := o.g.now()
	o.lastLeaseTry = start
	before, changed := o.lastHolder()
	version, err := o.g.store.Put(ctx, leaseKind, leaseName, data, want)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lease.WriteFailed()
		o.leaseWatched.Store(false) // read what came of it
		o.g.log.WithError(err).Warn("lease not written")
		return
	}
	o.lease.WriteSucceeded(uint64(version), start)
	if o.lease.TakeAcquired() {
		o.planner = rollout.NewPlanner(loadTimeout)
		o.loaded, o.fencingToken, o.updateSeq, o.guard = nil, uint64(version), 0, handoverGuard{}
		if before != "" && before != o.g.settings().Name {
			lastAct := changed.Add(leaseParams.Term - leaseParams.Margin)
			o.guard = newHandoverGuard(before, lastAct, o.g.settings().LeaseGap, o.g.view.Load().Rollout)
		}
		o.g.log.WithField("token", uint64(version)).WithField("before", before).WithField("fenced", len(o.guard.ids)).
			WithField("fence_all", o.guard.all).WithField("fence_ms", max(o.guard.until.Sub(o.g.now()), 0).Milliseconds()).Info("lease for orders taken")
	}
}

// lastHolder is who held the lease as last seen, and since when that word stands.
func (o *rolloutController) lastHolder() (holder string, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Holder()
}

// watchLease tells the lease of others' writes, so that a contender knows how
// long it has not been renewed. It reads the lease once, and watches it while a rollout is
// under way.
func (o *rolloutController) watchLease(ctx context.Context) {
	at, failures := platform.Version(0), 0
	for ctx.Err() == nil {
		err := o.watchLeaseOnce(ctx, &at)
		o.leaseWatched.Store(err == nil)
		if err == nil {
			failures = 0
			continue
		}
		at = 0 // list it anew: an own write may have failed meanwhile
		failures++
		wait.For(ctx, retryPause(failures))
	}
}

func (o *rolloutController) watchLeaseOnce(ctx context.Context, at *platform.Version) error {
	v := o.g.view.Load()
	contends := !o.g.isJoining() && rankOf(v.Attached, o.g.settings().Name, leaseName) < maxContenders
	if !contends || *at != 0 && len(v.Outdated) == 0 {
		wait.For(ctx, rolloutTick) // the lease changes only during rollouts
		return nil
	}
	if *at == 0 {
		s, err := o.g.store.List(ctx, leaseKind)
		if err != nil {
			return err
		}
		if len(s.Objects) == 0 {
			o.recordLease(platform.NamedObject{})
		}
		for _, obj := range s.Objects {
			o.recordLease(obj)
		}
		*at = s.Revision
		return nil
	}
	c, err := o.g.store.Watch(ctx, leaseKind, *at, leaseWatchTimeout)
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		*at = 0
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
	*at = max(*at, c.Revision)
	return nil
}
