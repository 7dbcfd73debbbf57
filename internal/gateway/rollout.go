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
	"sync/atomic"
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
	// leasePulse is how often a holder that waits for loads renews, so that the
	// contenders see it alive.
	leasePulse = 400 * time.Millisecond
	// leaseWatch is how long a contender's watch of the lease waits: it changes
	// only during rollouts.
	leaseWatch = 20 * time.Second
	// loadTime is the longest time that one load may take: runs finish first.
	loadTime = 15 * time.Second
	// loadPoll is how often a load's progress is asked for.
	loadPoll = 100 * time.Millisecond
	// loadTaken is how long after an order without effect it is given again: a
	// report lags some hundred ms.
	loadTaken = 900 * time.Millisecond
	// leastServing is the share of a model's targets that keep serving.
	leastServing = 0.5
	// planAhead is how many targets are closed to new requests while others load.
	planAhead = 1
	// closeTime is how long a target is closed before its order: instances hear of
	// it in milliseconds, and most short answers end meanwhile.
	closeTime = 500 * time.Millisecond
	// loadLeast is the time before the first look at a load: none was seen faster.
	loadLeast = 600 * time.Millisecond
	// renewTries is how often an order that is due looks for the lease's renewal.
	renewTries = 20
	// newsEvery is how often the holder repeats what it does.
	newsEvery = time.Second
)

// leaseParams make a contender take over from a holder that died within 1.4 s; a
// holder acts for 600 ms after a write of the lease, which is a few calls. Two
// holders are then 800 ms apart at least. Targets that the first one may have
// given orders to are left alone for longer, see fence.
var leaseParams = order.Params{Term: time.Second, Margin: 400 * time.Millisecond, Renew: 250 * time.Millisecond}

// leaseValue is the lease's object.
type leaseValue struct {
	Holder string `json:"holder"`
	// Renewals makes each renewal a change: the store ignores writes that change
	// nothing, and a contender must see that the holder lives.
	Renewals uint64 `json:"renewals"`
}

// rollout gives orders while this instance holds the lease.
type rollout struct {
	g       *Gateway
	due     time.Time // since when there is work; zero: none
	renewed time.Time // last try to take or renew the lease

	renewals uint64
	wanted   atomic.Bool   // an order waits for the lease to be renewed
	watched  atomic.Bool   // the watch tells of changes of the lease
	slots    chan struct{} // of loads that run

	mu      sync.Mutex // guards the rest
	lease   *order.Lease
	planner *order.Planner
	loading map[string]bool // ids of targets with a load planned or under way
	arrived []Arrival       // in this hold of the lease
	token   uint64          // of this hold
	seq     uint64          // of the news told
	told    time.Time       // when
	fenced  fence           // after another's hold
}

// fence keeps orders of a new holder away from targets to which the one before
// may have sent some lately.
type fence struct {
	until time.Time
	all   bool            // it is not known which targets those are
	ids   map[string]bool // those that it closed
}

// blocks says whether a target must not get orders yet.
func (f fence) blocks(id string, now time.Time) bool {
	return now.Before(f.until) && (f.all || f.ids[id])
}

// fenceAfter builds the fence that a hold of another leaves: its last order was
// sent no later than lastAct. What it did is known by its news, which it tells
// before it gives an order.
func fenceAfter(holder string, lastAct time.Time, gap time.Duration, news RolloutNews) fence {
	f := fence{until: lastAct.Add(gap), all: news.Holder != holder, ids: map[string]bool{}}
	for _, id := range news.Closing {
		f.ids[id] = true
	}
	for _, a := range news.Arrived {
		f.ids[a.Target] = true
	}
	return f
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
	return &rollout{g: g, lease: order.NewLease(leaseParams, set.Name), planner: order.NewPlanner(loadTime), loading: map[string]bool{},
		slots: make(chan struct{}, order.MaxLoads)}
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
	rank := rankOf(v.Alive, o.g.settings().Name, leaseName)
	if rank >= contenders || now.Sub(o.due) < time.Duration(rank)*contenderStep {
		return
	}
	if now.Sub(o.renewed) >= leasePulse || o.wanted.Swap(false) || !o.idle(len(behind)) {
		o.keepLease(ctx)
	}
	for _, l := range o.planLoads(v) {
		o.g.start(func() { o.load(ctx, l, v.Targets[l.Target]) })
	}
	o.tellNews()
}

// idle says that all loads that may be under way are.
func (o *rollout) idle(behind int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.loading) >= min(order.MaxLoads+planAhead, behind)
}

// tellNews tells the other instances what this one does, again and again as long
// as it does anything.
func (o *rollout) tellNews() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loading) > 0 && o.g.now().Sub(o.told) >= newsEvery {
		o.announce()
	}
}

// announce makes news of what is closed and what has arrived; o.mu is held.
func (o *rollout) announce() {
	o.seq++
	o.told = o.g.now()
	news := RolloutNews{Holder: o.g.settings().Name, Stamp: RolloutStamp{Token: o.token, Seq: o.seq}, Arrived: slices.Clone(o.arrived)}
	for id := range o.loading {
		news.Closing = append(news.Closing, id)
	}
	slices.Sort(news.Closing)
	o.g.send(rolloutHeard{news: news, own: true})
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

// rankOf is an instance's place among the live ones for a role, the same at all
// of them (rendezvous hashing).
func rankOf(alive []string, self, role string) int {
	score := func(name string) uint64 { return xxhash.Sum64String(name + "/" + role) }
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
	now, age := o.g.now(), map[string]time.Duration{}
	wishes := map[string]order.Wish{}
	for model, n := range v.Named {
		wishes[model] = order.Wish{Version: versionText(n.Version), MinReady: leastServing}
	}
	o.mu.Lock()
	fenced := o.fenced
	o.mu.Unlock()
	for _, t := range v.Targets {
		if t.Leaving || fenced.blocks(t.ID, now) {
			continue
		}
		for _, m := range t.Models {
			at := min(m.Version, v.Named[m.Model].Version) // newer than we know of is as good
			targets = append(targets, order.Target{Name: t.ID, Model: m.Model, Version: versionText(at), Ready: true})
			age[t.ID] = v.Named[m.Model].behindFor(m.Version, now)
		}
	}
	// Those that have been behind for longest go first; else in an order that
	// mixes the zones.
	slices.SortFunc(targets, func(a, b order.Target) int {
		return cmp.Or(cmp.Compare(age[b.Name], age[a.Name]), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
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
	if len(loads) > 0 {
		o.announce()
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
	o.announce()
	o.mu.Unlock()
	o.g.log.WithField("target", l.Target).WithField("model", l.Model).WithField("version", version).WithField("outcome", outcome).
		WithField("ms", o.g.now().Sub(began).Milliseconds()).Info("load ended")
}

// follow closes a target, gives the order and waits for its effect. It returns
// how it ended.
func (o *rollout) follow(ctx context.Context, model string, version uint64, t *catalog.Target) string {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	wait.For(ctx, closeTime)
	select {
	case o.slots <- struct{}{}:
		defer func() { <-o.slots }()
	case <-ctx.Done():
		return "no turn in time"
	}
	before, err := o.g.engines.Report(ctx, t.Address, t.ID)
	if err != nil {
		return "no report: " + err.Error()
	}
	if o.hasArrived(before, model, version, t) {
		return "already there"
	}
	if refusal := o.order(ctx, model, version, t, before.OrderSeq); refusal != "" {
		return refusal
	}
	return o.await(ctx, model, version, t, before.OrderSeq)
}

// order gives one order, if the lease is held right before. It returns "" unless
// the target surely did not take it.
func (o *rollout) order(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	o.mu.Lock()
	token, held := o.lease.Held(o.g.now())
	o.mu.Unlock()
	if !held && !o.renewFor(ctx) {
		return "lease lapsed before the order"
	}
	if !held {
		o.mu.Lock()
		token, held = o.lease.Held(o.g.now())
		o.mu.Unlock()
		if !held {
			return "lease lapsed before the order"
		}
	}
	metric.Orders.Inc()
	err := o.g.engines.Load(ctx, LoadOrder{Target: t.ID, Address: t.Address, Model: model, Version: version, Holder: o.g.settings().Name,
		Token: token, ExpectedSeq: seq, Cut: true})
	o.g.log.WithField("target", t.ID).WithField("model", model).WithField("version", version).WithField("token", token).
		WithField("expected", seq).WithField("error", errText(err)).Info("load ordered")
	var call *CallError
	if errors.As(err, &call) && call.Status != 0 && call.Status != http.StatusConflict {
		return "refused with status " + strconv.Itoa(call.Status)
	}
	return ""
}

// await asks for reports until the version is there.
func (o *rollout) await(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	sent := o.g.now()
	wait.For(ctx, loadLeast)
	for wait.For(ctx, loadPoll) {
		r, err := o.g.engines.Report(ctx, t.Address, t.ID)
		if err != nil {
			continue // a report that is lost is asked for again, until the load's time is over
		}
		if o.hasArrived(r, model, version, t) {
			return "done"
		}
		if !r.Ordered && r.OrderSeq == seq && o.g.now().Sub(sent) > loadTaken {
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

// hasArrived says whether a report shows the version, and takes note of it.
func (o *rollout) hasArrived(r Report, model string, version uint64, t *catalog.Target) bool {
	for _, m := range r.Models {
		if m.Model == model && m.Version >= version {
			o.mu.Lock()
			o.arrived = append(o.arrived, Arrival{Target: t.ID, Serves: m})
			o.mu.Unlock()
			o.g.send(targetServes{id: t.ID, at: m})
			return true
		}
	}
	return false
}

// keepLease takes or renews the lease if that is due. One call at a time: only
// the loop makes it.
func (o *rollout) keepLease(ctx context.Context) {
	o.mu.Lock()
	step, version := o.lease.Next(o.g.now())
	o.mu.Unlock()
	switch step {
	case order.Read:
		if !o.watched.Load() && o.g.now().Sub(o.renewed) >= leasePulse {
			o.readLease(ctx)
		}
	case order.Write:
		o.writeLease(ctx, platform.Version(version))
	}
}

// renewFor waits for the loop to renew the lease for an order that is due.
func (o *rollout) renewFor(ctx context.Context) bool {
	o.wanted.Store(true)
	for range renewTries {
		if !wait.For(ctx, rolloutTick/2) {
			return false
		}
		o.mu.Lock()
		_, held := o.lease.Held(o.g.now())
		o.mu.Unlock()
		if held {
			return true
		}
	}
	return false
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
	o.renewals++
	data, err := json.Marshal(leaseValue{Holder: o.g.settings().Name, Renewals: o.renewals})
	if err != nil {
		panic(err) // a string and a number always marshal
	}
	start := o.g.now()
	o.renewed = start
	before, changed := o.lastHolder()
	version, err := o.g.store.Put(ctx, leaseKind, leaseName, data, want)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lease.Failed()
		o.watched.Store(false) // read what came of it
		o.g.log.WithError(err).Warn("lease not written")
		return
	}
	o.lease.Wrote(uint64(version), start)
	if o.lease.Fresh() {
		o.planner = order.NewPlanner(loadTime)
		o.planner.PlanAhead(planAhead)
		o.arrived, o.token, o.seq, o.fenced = nil, uint64(version), 0, fence{}
		if before != "" && before != o.g.settings().Name {
			lastAct := changed.Add(leaseParams.Term - leaseParams.Margin)
			o.fenced = fenceAfter(before, lastAct, o.g.settings().LeaseGap, o.g.view.Load().Rollout)
		}
		o.g.log.WithField("token", uint64(version)).WithField("before", before).WithField("fenced", len(o.fenced.ids)).
			WithField("fence_all", o.fenced.all).WithField("fence_ms", o.fenced.until.Sub(o.g.now()).Milliseconds()).Info("lease for orders taken")
	}
}

// lastHolder is who held the lease as last seen, and since when that word stands.
func (o *rollout) lastHolder() (holder string, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Holder()
}

// watchLease tells the lease of others' writes, so that a contender knows how
// long it has not been renewed.
func (o *rollout) watchLease(ctx context.Context) {
	at, failures := platform.Version(0), 0
	for ctx.Err() == nil {
		err := o.watchOnce(ctx, &at)
		o.watched.Store(err == nil)
		if err == nil {
			failures = 0
			continue
		}
		at = 0 // list it anew: an own write may have failed meanwhile
		failures++
		wait.For(ctx, pause(failures))
	}
}

func (o *rollout) watchOnce(ctx context.Context, at *platform.Version) error {
	if rankOf(o.g.view.Load().Alive, o.g.settings().Name, leaseName) >= contenders {
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
