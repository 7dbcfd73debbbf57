package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Keys of the platform that orders use.
const (
	leaseKey   = "orders/lease"
	rolloutKey = "orders/rollout"
)

// Times of giving orders.
const (
	orderTick = 100 * time.Millisecond
	// loadBeats is the longest time that one order may take, in heartbeats; a
	// new holder waits that long before it gives its first one.
	loadBeats = 30
)

// leaseValue is the lease's object.
type leaseValue struct {
	Holder string `json:"holder"`
}

// rolloutRecord is what is kept of rollouts: versions that would not load.
type rolloutRecord struct {
	Bad map[string][]string `json:"bad"`
}

// orders gives orders while this instance holds the lease.
type orders struct {
	d       *Daemon
	lease   *rollout.Lease
	planner *rollout.Planner
	version platform.Version // of the rollout object
	badOf   string           // its contents as last read or written

	mu     sync.Mutex // guards lease and planner between the loop and the senders
	flying sync.WaitGroup
}

// giveOrders is the loop of the instance that orders fall to.
func (d *Daemon) giveOrders(ctx context.Context) {
	o := &orders{d: d, lease: rollout.NewLease(d.leaseParams(), d.set.Name), planner: rollout.NewPlanner(d.loadTimeout())}
	defer o.flying.Wait()
	for wait.For(ctx, orderTick) {
		v := d.view.Load()
		if v.Config == nil || v.Draining || leader(v.Observers) != d.set.Name {
			continue
		}
		o.keepLease(ctx)
		if _, held := o.held(); held && o.sync(ctx) {
			o.round(ctx, v)
		}
	}
}

// leaseParams are the lease's times: heartbeats set the pace of everything that
// has to do with members, and of this too.
func (d *Daemon) leaseParams() rollout.LeaseParams {
	beat := settings.Duration(d.set.Timing.HeartbeatMS)
	return rollout.LeaseParams{Term: 20 * beat, Margin: 4 * beat, RenewInterval: 6 * beat}
}

func (d *Daemon) loadTimeout() time.Duration {
	return loadBeats * settings.Duration(d.set.Timing.HeartbeatMS)
}

// leader is the one live instance that tries for the lease, so that the others
// cost the platform nothing.
func leader(members []observe.Observer) string {
	best, top := "", uint64(0)
	for _, m := range members {
		if score := rendezvous.Score(m.Name, "orders"); best == "" || score > top {
			best, top = m.Name, score
		}
	}
	return best
}

// keepLease takes or renews the lease if that is due.
func (o *orders) keepLease(ctx context.Context) {
	o.mu.Lock()
	step, version := o.lease.NextStep(o.d.now())
	o.mu.Unlock()
	switch step {
	case rollout.StepRead:
		o.readLease(ctx)
	case rollout.StepWrite:
		o.writeLease(ctx, platform.Version(version))
	}
}

// held asks the lease.
func (o *orders) held() (token uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Held(o.d.now())
}

func (o *orders) readLease(ctx context.Context) {
	obj, err := o.d.store.Get(ctx, leaseKey)
	var missing *platform.NotFoundError
	var v leaseValue
	if !errors.As(err, &missing) && (err != nil || json.Unmarshal(obj.Value, &v) != nil) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.Observe(v.Holder, uint64(obj.Version), o.d.now())
}

func (o *orders) writeLease(ctx context.Context, want platform.Version) {
	data, err := json.Marshal(leaseValue{Holder: o.d.set.Name})
	if err != nil {
		return
	}
	start := o.d.now()
	version, err := o.d.store.Put(ctx, leaseKey, data, want)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lease.WriteFailed()
		return
	}
	o.lease.WriteSucceeded(uint64(version), start)
	if o.lease.TakeAcquired() {
		o.d.log.WithField("token", uint64(version)).Info("took the lease for orders")
		o.planner.LeaseAcquired(o.d.now())
		o.version, o.badOf = 0, ""
	}
}

// sync keeps the list of bad versions the same here and in the platform.
func (o *orders) sync(ctx context.Context) bool {
	if o.version == 0 && o.badOf == "" {
		obj, err := o.d.store.Get(ctx, rolloutKey)
		var missing *platform.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return false
		}
		var r rolloutRecord
		if err == nil && json.Unmarshal(obj.Value, &r) != nil {
			return false
		}
		if r.Bad == nil {
			r.Bad = map[string][]string{}
		}
		o.mu.Lock()
		o.planner.SetBadVersions(r.Bad)
		o.mu.Unlock()
		o.version, o.badOf = obj.Version, encodeBad(r.Bad)
	}
	o.mu.Lock()
	now := encodeBad(o.planner.BadVersions())
	o.mu.Unlock()
	if now == o.badOf {
		return true
	}
	version, err := o.d.store.Put(ctx, rolloutKey, []byte(now), o.version)
	if err != nil {
		o.version, o.badOf = 0, "" // read it again
		return false
	}
	o.version, o.badOf = version, now
	return true
}

func encodeBad(bad map[string][]string) string {
	data, err := json.Marshal(rolloutRecord{Bad: bad})
	if err != nil {
		return ""
	}
	return string(data)
}

// round plans once and sends what is due.
func (o *orders) round(ctx context.Context, v *view.View) {
	wishes := map[string]rollout.DesiredVersion{}
	for _, m := range v.Bundle.Models {
		wishes[m.Name] = rollout.DesiredVersion{Version: m.Version, Allowed: m.Versions, MinReady: v.Policy.MinReady}
	}
	var targets []rollout.Target
	for _, t := range v.Targets.Targets {
		if t.State == route.Leaving || t.State == route.Suspect || t.ReportAgeMS > maxReportMS {
			continue // its word is old, or it will not obey
		}
		targets = append(targets, rollout.Target{Name: t.Name, Model: t.Model, Version: t.Version, Ready: t.State == route.Ready,
			Loading: t.State == route.Unknown})
	}
	o.mu.Lock()
	loads := o.planner.Plan(targets, wishes, o.d.now())
	o.mu.Unlock()
	for _, l := range loads {
		o.flying.Add(1)
		go func() {
			defer o.flying.Done()
			o.send(ctx, l, v.Targets.Find(l.Target).Address)
		}()
	}
}

// maxReportMS is the age beyond which a report is no ground for an order.
const maxReportMS = 10_000

// send gives one order. The lease is checked right before, and the order's own
// time ends before the lease's margin does.
func (o *orders) send(ctx context.Context, l rollout.Load, address string) {
	ctx, cancel := context.WithTimeout(ctx, o.d.loadTimeout())
	defer cancel()
	token, held := o.held()
	if !held {
		o.ended(l, false)
		return
	}
	metric.Orders.Inc()
	st, err := o.d.engines.Order(ctx, address, target.Order{Kind: target.OrderLoad, Version: l.Version, FencingToken: token})
	entry := o.d.log.WithField("target", l.Target).WithField("weight_version", l.Version).WithField("token", strconv.FormatUint(token, 10))
	var call *target.CallError
	refused := errors.As(err, &call) && call.Status == 422
	if err != nil {
		entry.WithError(err).Warn("order failed")
	} else {
		entry.WithField("now_at", st.Version).Info("order carried out")
	}
	o.ended(l, refused)
}

func (o *orders) ended(l rollout.Load, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.LoadEnded(l, refused)
}

// HoldsOrders says whether orders fall to this instance.
func (d *Daemon) HoldsOrders() bool { return leader(d.view.Load().Observers) == d.set.Name }
