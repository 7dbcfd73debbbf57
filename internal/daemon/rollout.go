package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
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

// Names of the platform objects that hold the lease and the state of rollouts.
const (
	leaseKey   = "orders/lease"
	rolloutKey = "orders/rollout"
)

// Timing of orders.
const (
	planInterval = 100 * time.Millisecond
	// loadTimeoutHeartbeats is the deadline for one order, in heartbeats. A new lease
	// holder waits that long before it sends its first order.
	loadTimeoutHeartbeats = 30
)

// rolloutRecord is the content of the rollout object: by model, the weight versions
// that targets refused to load.
type rolloutRecord struct {
	Bad map[string][]string `json:"bad"`
}

// rolloutRunner plans rollouts and sends load orders while this instance holds the
// lease.
type rolloutRunner struct {
	d                 *Daemon
	lease             *rollout.Lease
	planner           *rollout.Planner
	version           platform.Version // of the rollout object; 0 if it does not exist or was not read
	storedBadVersions string           // content of the rollout object as last read or written

	mu       sync.Mutex // guards lease and planner, which the loop and sendOrder share
	inFlight sync.WaitGroup
}

// runRollouts maintains the lease and drives rollouts while this instance is the
// rollout leader and not draining.
func (d *Daemon) runRollouts(ctx context.Context) {
	self := rollout.Holder{Name: d.set.Name, Process: rand.Uint64()}
	r := &rolloutRunner{d: d, lease: rollout.NewLease(d.leaseParams(), self), planner: rollout.NewPlanner(d.loadTimeout())}
	defer r.inFlight.Wait()
	for wait.For(ctx, planInterval) {
		v := d.view.Load()
		if v.Config == nil || v.Draining || rolloutLeader(v.Observers) != d.set.Name {
			continue
		}
		r.maintainLease(ctx)
		if _, held := r.leaseHeld(); held && r.syncBadVersions(ctx) {
			r.planAndSend(ctx, v)
		}
	}
}

// leaseParams returns the timing of the lease, in multiples of the heartbeat like all
// timing that depends on membership.
func (d *Daemon) leaseParams() rollout.LeaseParams {
	heartbeat := settings.Duration(d.set.Timing.HeartbeatMS)
	return rollout.LeaseParams{Term: 20 * heartbeat, Margin: 4 * heartbeat, RenewInterval: 6 * heartbeat}
}

func (d *Daemon) loadTimeout() time.Duration {
	return loadTimeoutHeartbeats * settings.Duration(d.set.Timing.HeartbeatMS)
}

// rolloutLeader returns the one live instance that may try to acquire the lease, so
// that the others cause no load on the platform.
func rolloutLeader(members []observe.Observer) string {
	best, topScore := "", uint64(0)
	for _, m := range members {
		if score := rendezvous.Score(m.Name, "orders"); best == "" || score > topScore {
			best, topScore = m.Name, score
		}
	}
	return best
}

// maintainLease acquires or renews the lease if that is due.
func (r *rolloutRunner) maintainLease(ctx context.Context) {
	r.mu.Lock()
	step, version := r.lease.NextStep(r.d.now())
	r.mu.Unlock()
	switch step {
	case rollout.StepRead:
		r.readLease(ctx)
	case rollout.StepWrite:
		r.writeLease(ctx, platform.Version(version))
	}
}

// leaseHeld reports whether this instance holds the lease now, and its fencing token.
func (r *rolloutRunner) leaseHeld() (token uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Held(r.d.now())
}

func (r *rolloutRunner) readLease(ctx context.Context) {
	obj, err := r.d.store.Get(ctx, leaseKey)
	var missing *platform.NotFoundError
	var v rollout.LeaseValue
	if !errors.As(err, &missing) && (err != nil || json.Unmarshal(obj.Value, &v) != nil) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.Observe(v, uint64(obj.Version), r.d.now())
	r.applyAcquisition()
}

func (r *rolloutRunner) writeLease(ctx context.Context, expected platform.Version) {
	r.mu.Lock()
	value := r.lease.BeginWrite(r.d.now(), 0) // a new holder waits for the longest order
	r.mu.Unlock()
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: strings and numbers always marshal
	}
	version, err := r.d.store.Put(ctx, leaseKey, data, expected)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.lease.WriteFailed()
		return
	}
	r.lease.WriteSucceeded(uint64(version))
	r.applyAcquisition()
}

// applyAcquisition begins the work of a holder if the lease has just been acquired; r.mu is held.
func (r *rolloutRunner) applyAcquisition() {
	a, acquired := r.lease.TakeAcquired()
	if !acquired {
		return
	}
	r.d.log.WithField("token", a.Token).Info("acquired the rollout lease")
	r.planner.LeaseAcquired(r.d.now())
	r.version, r.storedBadVersions = 0, ""
}

// syncBadVersions reads the list of bad versions after a change of holder or a failed
// write, and writes it when the planner's list has changed. It reports whether both
// lists agree.
func (r *rolloutRunner) syncBadVersions(ctx context.Context) bool {
	if r.version == 0 && r.storedBadVersions == "" {
		obj, err := r.d.store.Get(ctx, rolloutKey)
		var missing *platform.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return false
		}
		var record rolloutRecord
		if err == nil && json.Unmarshal(obj.Value, &record) != nil {
			return false
		}
		if record.Bad == nil {
			record.Bad = map[string][]string{}
		}
		r.mu.Lock()
		r.planner.SetBadVersions(record.Bad)
		r.mu.Unlock()
		r.version, r.storedBadVersions = obj.Version, encodeBadVersions(record.Bad)
	}
	r.mu.Lock()
	current := encodeBadVersions(r.planner.BadVersions())
	r.mu.Unlock()
	if current == r.storedBadVersions {
		return true
	}
	version, err := r.d.store.Put(ctx, rolloutKey, []byte(current), r.version)
	if err != nil {
		r.version, r.storedBadVersions = 0, "" // read it again
		return false
	}
	r.version, r.storedBadVersions = version, current
	return true
}

func encodeBadVersions(badVersions map[string][]string) string {
	data, err := json.Marshal(rolloutRecord{Bad: badVersions})
	if err != nil {
		return ""
	}
	return string(data)
}

// planAndSend makes one plan and sends the load orders that are due in the background.
func (r *rolloutRunner) planAndSend(ctx context.Context, v *view.View) {
	desired := map[string]rollout.DesiredVersion{}
	for _, m := range v.Bundle.Models {
		desired[m.Name] = rollout.DesiredVersion{Version: m.Version, Allowed: m.Versions, MinReady: v.Policy.MinReady}
	}
	var targets []rollout.Target
	for _, t := range v.Targets.Targets {
		if t.State == route.Leaving || t.State == route.Suspect || t.ReportAgeMS > maxReportAgeMS {
			continue // the report is too old, or the target may not carry out an order
		}
		targets = append(targets, rollout.Target{Name: t.Name, Model: t.Model, Version: t.Version, Ready: t.State == route.Ready,
			Loading: t.State == route.Unknown})
	}
	r.mu.Lock()
	loads := r.planner.Plan(targets, desired, r.d.now())
	r.mu.Unlock()
	for _, load := range loads {
		r.inFlight.Add(1)
		go func() {
			defer r.inFlight.Done()
			r.sendOrder(ctx, load, v.Targets.Find(load.Target).Address)
		}()
	}
}

// maxReportAgeMS is the age in milliseconds beyond which a report is too old to base
// an order on.
const maxReportAgeMS = 10_000

// sendOrder sends one load order. The lease is checked right before; the call ends
// after loadTimeout, which a new lease holder waits out before its first order.
func (r *rolloutRunner) sendOrder(ctx context.Context, load rollout.Load, address string) {
	ctx, cancel := context.WithTimeout(ctx, r.d.loadTimeout())
	defer cancel()
	token, held := r.leaseHeld()
	if !held {
		r.loadEnded(load, false)
		return
	}
	metric.Orders.Inc()
	status, err := r.d.engines.Order(ctx, address, target.Order{Kind: target.OrderLoad, Version: load.Version, FencingToken: token})
	entry := r.d.log.WithField("target", load.Target).WithField("weight_version", load.Version).WithField("token", strconv.FormatUint(token, 10))
	var call *target.CallError
	refused := errors.As(err, &call) && call.Status == 422
	if err != nil {
		entry.WithError(err).Warn("order failed")
	} else {
		entry.WithField("now_at", status.Version).Info("order carried out")
	}
	r.loadEnded(load, refused)
}

func (r *rolloutRunner) loadEnded(load rollout.Load, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.LoadEnded(load, refused)
}

// IsRolloutLeader reports whether this instance is the one that may hold the lease and
// send orders.
func (d *Daemon) IsRolloutLeader() bool { return rolloutLeader(d.view.Load().Observers) == d.set.Name }
