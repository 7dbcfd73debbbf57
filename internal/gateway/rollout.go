package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/order"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Names of the lease's object.
const (
	leaseKind = "shedhoist-leases"
	leaseName = "orders"
)

// Times of a rollout.
const (
	rolloutTick = 100 * time.Millisecond
	// contenders is how many instances stand by for the lease; the others cost the
	// store nothing.
	contenders = 4
	// contenderStep is how much later each next contender tries for a free lease.
	contenderStep = 700 * time.Millisecond
	// leaseWork is how long a holder acts after a write of the lease: a few calls.
	leaseWork = 600 * time.Millisecond
	// leasePulse is how often a holder that waits for loads renews, so that the
	// contenders see it alive.
	leasePulse = time.Second
	// leaseWatch is how long a contender's watch of the lease waits: it changes
	// only during rollouts.
	leaseWatch = 20 * time.Second
	// loadTime is the longest time that one load may take: runs finish first.
	loadTime = 15 * time.Second
	// loadPoll is how often a load's progress is asked for.
	loadPoll = 250 * time.Millisecond
	// loadTaken is how long after an order without effect it is given again: a
	// report lags some hundred ms.
	loadTaken = 900 * time.Millisecond
	// leastServing is the share of a model's targets that keep serving.
	leastServing = 0.5
)

// leaseValue is the lease's object.
type leaseValue struct {
	Holder string `json:"holder"`
}

// rollout gives orders while this instance holds the lease.
type rollout struct {
	g       *Gateway
	due     time.Time // since when there is work; zero: none
	renewed time.Time // last try to take or renew the lease

	mu      sync.Mutex // guards lease, planner and loading
	lease   *order.Lease
	planner *order.Planner
	loading map[string]bool // ids of targets under an order of ours
}

// rollOut brings targets to the weight versions named, while the lease is here.
// The lease lapses when there is nothing to do; whoever ranks first takes it.
func (g *Gateway) rollOut(ctx context.Context) {
	o := g.rollout
	g.start(func() { o.watchLease(ctx) })
	for wait.For(ctx, rolloutTick) {
		o.round(ctx)
	}
}

func newRollout(g *Gateway) *rollout {
	set := g.settings()
	return &rollout{g: g, lease: order.NewLease(order.ParamsFor(set.LeaseGap, leaseWork), set.Name), planner: order.NewPlanner(loadTime), loading: map[string]bool{}}
}

// underOrder says whether a target is loading by an order of this instance.
func (o *rollout) underOrder(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loading[id]
}

// round does what is due now.
func (o *rollout) round(ctx context.Context) {
	v := o.g.view.Load()
	behind := behindTargets(v)
	if len(behind) == 0 || v.Draining {
		o.due = time.Time{}
		return
	}
	now := o.g.now()
	if o.due.IsZero() {
		o.due = now
	}
	rank := rankOf(v.Alive, o.g.settings().Name)
	if rank >= contenders || now.Sub(o.due) < time.Duration(rank)*contenderStep {
		return
	}
	if o.idle(behind) {
		if now.Sub(o.renewed) >= leasePulse {
			o.keepLease(ctx)
		}
		return
	}
	o.keepLease(ctx)
	for _, l := range o.planLoads(v) {
		o.g.start(func() { o.load(ctx, l, v.Targets[l.Target]) })
	}
}

// idle says that all loads that may run at once do.
func (o *rollout) idle(behind []*catalog.Target) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.loading) >= min(order.MaxLoads, len(behind))
}

// behindTargets lists the targets that serve older weights than named.
func behindTargets(v *View) []*catalog.Target {
	var out []*catalog.Target
	for _, t := range v.Targets {
		if t.Leaving {
			continue
		}
		for _, m := range t.Models {
			if m.Version < v.Named[m.Model].Version {
				out = append(out, t)
				break
			}
		}
	}
	return out
}

// rankOf is an instance's place among the live ones, the same at all of them.
func rankOf(alive []string, self string) int {
	score := func(name string) uint64 { return xxhash.Sum64String(name + "/" + leaseName) }
	mine, rank := score(self), 0
	for _, name := range alive {
		if name != self && score(name) > mine {
			rank++
		}
	}
	return rank
}

// planLoads chooses the loads to order now; none without the lease.
func (o *rollout) planLoads(v *View) []order.Load {
	var targets []order.Target
	wishes := map[string]order.Wish{}
	for model, n := range v.Named {
		wishes[model] = order.Wish{Version: versionText(n.Version), MinReady: leastServing}
	}
	for _, t := range v.Targets {
		if t.Leaving {
			continue
		}
		for _, m := range t.Models {
			at := min(m.Version, v.Named[m.Model].Version) // newer than we know of is as good
			targets = append(targets, order.Target{Name: t.ID, Model: m.Model, Version: versionText(at), Ready: true})
		}
	}
	slices.SortFunc(targets, func(a, b order.Target) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, held := o.lease.Held(o.g.now()); !held {
		return nil
	}
	for i := range targets {
		targets[i].Loading = o.loading[targets[i].Name]
	}
	loads := o.planner.Plan(targets, wishes, o.g.now())
	for _, l := range loads {
		o.loading[l.Target] = true
	}
	return loads
}

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }

// load orders one load and follows it to its end.
func (o *rollout) load(ctx context.Context, l order.Load, t *catalog.Target) {
	version, err := strconv.ParseUint(l.Version, 10, 64)
	if err != nil {
		panic(err) // versionText made it
	}
	began := o.g.now()
	outcome := o.follow(ctx, l.Model, version, t)
	o.mu.Lock()
	delete(o.loading, l.Target)
	o.planner.Ended(l, false)
	o.mu.Unlock()
	o.g.log.WithField("target", l.Target).WithField("model", l.Model).WithField("version", version).WithField("outcome", outcome).
		WithField("ms", o.g.now().Sub(began).Milliseconds()).Info("load ended")
}

// follow gives an order and waits for its effect. It returns how it ended.
func (o *rollout) follow(ctx context.Context, model string, version uint64, t *catalog.Target) string {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	before, err := o.g.engines.Report(ctx, t.Address, t.ID)
	if err != nil {
		return "no report: " + err.Error()
	}
	if o.arrived(before, model, version, t) {
		return "already there"
	}
	o.mu.Lock()
	token, held := o.lease.Held(o.g.now())
	o.mu.Unlock()
	if !held {
		return "lease lapsed before the order"
	}
	metric.Orders.Inc()
	sent := o.g.now()
	err = o.g.engines.Load(ctx, LoadOrder{Target: t.ID, Address: t.Address, Model: model, Version: version, Holder: o.g.settings().Name,
		Token: token, ExpectedSeq: before.OrderSeq})
	o.g.log.WithField("target", t.ID).WithField("model", model).WithField("version", version).WithField("token", token).
		WithField("expected", before.OrderSeq).WithField("error", errText(err)).Info("load ordered")
	var call *CallError
	if errors.As(err, &call) && call.Status != 0 && call.Status != http.StatusConflict {
		return "refused with status " + strconv.Itoa(call.Status)
	}
	for wait.For(ctx, loadPoll) {
		r, err := o.g.engines.Report(ctx, t.Address, t.ID)
		if err != nil {
			continue // a report that is lost is asked for again, until the load's time is over
		}
		if o.arrived(r, model, version, t) {
			return "done"
		}
		if !r.Ordered && r.OrderSeq == before.OrderSeq && o.g.now().Sub(sent) > loadTaken {
			return "not taken"
		}
	}
	return "given up"
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// arrived says whether a report shows the version, and tells the control state.
func (o *rollout) arrived(r Report, model string, version uint64, t *catalog.Target) bool {
	for _, m := range r.Models {
		if m.Model == model && m.Version >= version {
			o.g.send(targetServes{id: t.ID, at: m})
			return true
		}
	}
	return false
}

// keepLease takes or renews the lease if that is due.
func (o *rollout) keepLease(ctx context.Context) {
	o.mu.Lock()
	step, version := o.lease.Next(o.g.now())
	o.mu.Unlock()
	switch step {
	case order.Read:
		if o.g.now().Sub(o.renewed) >= leasePulse { // the watch tells of changes; this is for what it missed
			o.readLease(ctx)
		}
	case order.Write:
		o.writeLease(ctx, platform.Version(version))
	}
}

func (o *rollout) readLease(ctx context.Context) {
	o.renewed = o.g.now()
	obj, err := o.g.store.Get(ctx, leaseKind, leaseName)
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		o.g.log.WithError(err).Warn("lease not read")
		return
	}
	o.saw(obj)
}

// saw takes the lease's object as the store told it.
func (o *rollout) saw(obj platform.Named) {
	var v leaseValue
	if obj.Version != 0 {
		if err := json.Unmarshal(obj.Value, &v); err != nil {
			o.g.log.WithError(err).Error("lease not readable, taken for another's")
			v.Holder = "unreadable"
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.Saw(v.Holder, uint64(obj.Version), o.g.now())
}

func (o *rollout) writeLease(ctx context.Context, want platform.Version) {
	data, err := json.Marshal(leaseValue{Holder: o.g.settings().Name})
	if err != nil {
		panic(err) // a string always marshals
	}
	start := o.g.now()
	o.renewed = start
	version, err := o.g.store.Put(ctx, leaseKind, leaseName, data, want)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lease.Failed()
		o.g.log.WithError(err).Warn("lease not written")
		return
	}
	o.lease.Wrote(uint64(version), start)
	if o.lease.Fresh() {
		o.planner = order.NewPlanner(loadTime)
		o.g.log.WithField("token", uint64(version)).Info("lease for orders taken")
	}
}

// watchLease tells the lease of others' writes, so that a contender knows how
// long it has not been renewed.
func (o *rollout) watchLease(ctx context.Context) {
	at, failures := platform.Version(0), 0
	for ctx.Err() == nil {
		err := o.watchOnce(ctx, &at)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		wait.For(ctx, pause(failures))
	}
}

func (o *rollout) watchOnce(ctx context.Context, at *platform.Version) error {
	if rankOf(o.g.view.Load().Alive, o.g.settings().Name) >= contenders {
		wait.For(ctx, leasePulse)
		return nil
	}
	if *at == 0 {
		s, err := o.g.store.All(ctx, leaseKind)
		if err != nil {
			return err
		}
		if len(s.Objects) == 0 {
			o.saw(platform.Named{})
		}
		for _, obj := range s.Objects {
			o.saw(obj)
		}
		*at = s.Revision
		return nil
	}
	c, err := o.g.store.Follow(ctx, leaseKind, *at, leaseWatch)
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
			o.saw(ch.Named)
		}
	}
	*at = max(*at, c.Revision)
	return nil
}
