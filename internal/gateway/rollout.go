package gateway

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/registry"
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
	// maxContenders is how many instances stand by for the lease; the others make no calls to
	// the store for it.
	maxContenders = 4
	// contenderDelay is how much later each next contender tries to acquire a free lease.
	contenderDelay = 700 * time.Millisecond
	// leaseRenewInterval is how often a holder that waits for loads renews the lease, so that
	// the contenders see that it is alive.
	leaseRenewInterval = 400 * time.Millisecond
	// leaseWatchTimeout is how long a contender's watch call waits: the lease changes only
	// during rollouts.
	leaseWatchTimeout = 20 * time.Second
	// loadTimeout is the longest time that one load may take, including the running requests
	// that finish before it.
	loadTimeout = 15 * time.Second
	// loadPollInterval is how often a load's progress is polled.
	loadPollInterval = 100 * time.Millisecond
	// loadAcceptTime is how long an order may show no effect before the load ends as not
	// accepted and is planned again: a report lags by some hundred ms.
	loadAcceptTime = 900 * time.Millisecond
	// minServingShare is the least share of a model's targets that keep serving.
	minServingShare = 0.5
	// loadsPerCordonedTarget is how many concurrent loads allow one more target to be cordoned
	// ahead of its load: a load takes about twice as long as the cordon before it.
	loadsPerCordonedTarget = 3
	// minLoadTime is the time before a load's progress is first polled: no load has been seen
	// to be faster.
	minLoadTime = 600 * time.Millisecond
	// renewTries is how often an order that is due checks whether the lease is renewed.
	renewTries = 20
	// rolloutUpdateInterval is how often the holder repeats its rollout update.
	rolloutUpdateInterval = time.Second
)

// rolloutController sends load orders while this instance holds the lease.
type rolloutController struct {
	g            *Gateway
	self         rollout.Holder
	workSince    time.Time // since when there are outdated targets; zero: there are none
	lastLeaseTry time.Time // last attempt to read or write the lease

	renewWanted  atomic.Bool // an order waits for the lease to be renewed
	leaseWatched atomic.Bool // the watch reports changes of the lease

	mu           sync.Mutex // guards the fields below
	lease        *rollout.Lease
	planner      *rollout.Planner
	loading      map[string]*loadProgress // by id of the target, loads planned or in progress
	runningLoads int                      // loads in progress
	maxLoads     int                      // limit of runningLoads
	maxClosing   int                      // targets that may be closing at once
	loaded       []LoadedTarget           // since this instance acquired the lease
	fencingToken uint64                   // of the lease as acquired
	updateSeq    uint64                   // of the last rollout update
	notices      uint64                   // given by this process, see rollout.LeaseValue
	lastUpdate   time.Time                // when it was announced
	guard        rollout.OrderGuard       // after other holders
	ordered      map[string]time.Time     // by id of the target, when this process sent the last order; kept for the lease gap

	deferredUntil map[string]time.Time // ids of targets, see deferLoads
	closing       rollout.Closing      // ids of targets
	heldAt        time.Time            // when the lease was last seen to be held
	pace          rollout.Pace         // of the stages before an order
	loadTime      time.Duration        // assumed duration of a load
}

// runRollouts brings targets to the named weight versions while this instance holds the lease.
// The lease lapses when no target is outdated; the contender that ranks first acquires it next.
func (g *Gateway) runRollouts(ctx context.Context) {
	o := g.rollout
	g.spawn(func() { o.watchLease(ctx) })
	for wait.For(ctx, rolloutTick) {
		o.runRound(ctx)
	}
}

func newRolloutController(g *Gateway) *rolloutController {
	set := g.settings()
	self := rollout.Holder{Name: set.Name, Machine: set.PeerListen, Process: rand.Uint64()}
	return &rolloutController{g: g, self: self, lease: rollout.NewLease(leaseParams, self), planner: rollout.NewPlanner(loadTimeout), loading: map[string]*loadProgress{}, maxLoads: rollout.DefaultMaxLoads, deferredUntil: map[string]time.Time{},
		ordered: map[string]time.Time{}, closing: rollout.Closing{}, loadTime: rollout.InitialLoadTime}
}

// runRound maintains the lease and starts the loads that are due.
func (o *rolloutController) runRound(ctx context.Context) {
	v := o.g.view.Load()
	outdated := v.Outdated
	if len(outdated) == 0 || v.Draining || o.g.targetLinks.lost() {
		o.workSince = time.Time{}
		o.dropClosing()
		return
	}
	now := o.g.now()
	if o.workSince.IsZero() {
		o.workSince = now
	}
	rank := rankOf(v.Orderers, o.g.settings().Name, leaseName)
	if rank >= maxContenders || now.Sub(o.workSince) < time.Duration(rank)*contenderDelay {
		return
	}
	if now.Sub(o.lastLeaseTry) >= leaseRenewInterval || o.renewWanted.Swap(false) || !o.allStarted(len(outdated)) {
		o.maintainLease(ctx)
	}
	for _, l := range o.planLoads(v) {
		o.g.spawn(func() { o.runLoad(ctx, l) })
	}
	o.repeatUpdate()
}

// allStarted reports whether as many loads are planned or in progress as the limits allow.
func (o *rolloutController) allStarted(outdated int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.loading) >= min(o.maxLoads+o.maxLoads/loadsPerCordonedTarget, outdated)
}

// repeatUpdate announces the rollout update to the other instances periodically while loads are
// planned or in progress, or targets are closing.
func (o *rolloutController) repeatUpdate() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loading)+len(o.closing) > 0 && o.g.now().Sub(o.lastUpdate) >= rolloutUpdateInterval {
		o.announce()
	}
}

// announce publishes a rollout update with the closing, the cordoned and the loaded targets; o.mu is held.
func (o *rolloutController) announce() {
	o.updateSeq++
	o.lastUpdate = o.g.now()
	update := RolloutUpdate{Holder: o.g.settings().Name, Process: o.self.Process, Notices: o.notices, Stamp: RolloutStamp{Token: o.fencingToken, Seq: o.updateSeq}, Loaded: slices.Clone(o.loaded)}
	for id := range o.loading {
		update.Cordoned = append(update.Cordoned, id)
	}
	for id := range o.closing {
		update.Closing = append(update.Closing, id)
	}
	slices.Sort(update.Cordoned)
	slices.Sort(update.Closing)
	o.addOrders(&update)
	o.g.sendEvent(rolloutReceived{update: update, own: true})
}

// addOrders adds to an update the targets to which a next holder must not send orders yet; o.mu is held.
func (o *rolloutController) addOrders(update *RolloutUpdate) {
	now := o.g.now()
	for id, at := range o.ordered {
		if now.Sub(at) >= o.g.settings().LeaseGap {
			delete(o.ordered, id)
			continue
		}
		if _, isCordoned := o.loading[id]; !isCordoned {
			update.Ordered = append(update.Ordered, id)
		}
	}
	slices.Sort(update.Ordered)
	all, guarded := o.guard.Remaining(now)
	update.GuardAllMS = ceilMS(all)
	for _, t := range guarded {
		update.Guarded = append(update.Guarded, GuardedTarget{Target: t.Target, ForMS: ceilMS(t.For)})
	}
}

// ceilMS returns a duration in ms, rounded up.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// rankOf returns an instance's rank among the live ones for a role. All instances compute the
// same rank.
func rankOf(alive []string, self, role string) int {
	return rendezvous.Rank(alive, self, role)
}

// planLoads returns the loads to prepare now, and names the targets that are next; none without the
// lease.
func (o *rolloutController) planLoads(v *View) []*plannedLoad {
	var targets []rollout.Target
	now, outdatedFor := o.g.now(), map[string]time.Duration{}
	desired := map[string]rollout.DesiredVersion{}
	for model, named := range v.NamedVersions {
		desired[model] = rollout.DesiredVersion{Version: versionText(named.Newest), MinReady: minServingShare}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range v.Targets {
		if t.IsLeaving() || !v.Config.HasService(t.Service) || o.guard.Blocks(t.ID, now) {
			continue
		}
		for _, m := range t.Models {
			version := min(m.Version, v.NamedVersions[m.Model].Newest) // a version newer than the newest known counts as that one
			targets = append(targets, rollout.Target{Name: t.ID, Model: m.Model, Version: versionText(version), Ready: true})
			outdatedFor[t.ID] = v.NamedVersions[m.Model].OutdatedFor(m.Version, now)
		}
	}
	// Those that have been outdated for longest go first; ties are broken by hash, which mixes
	// the zones.
	slices.SortFunc(targets, func(a, b rollout.Target) int {
		return cmp.Or(cmp.Compare(outdatedFor[b.Name], outdatedFor[a.Name]), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	if _, held := o.lease.Held(o.g.now()); !held {
		if now.Sub(o.heldAt) >= leaseParams.Term {
			clear(o.closing) // another instance may name targets now
		}
		return nil
	}
	o.heldAt = now
	for i := range targets {
		_, targets[i].Loading = o.loading[targets[i].Name]
	}
	o.maxLoads = rollout.MaxConcurrentLoads(len(targets))
	o.maxClosing = rollout.MaxClosingTargets(len(targets), o.maxLoads)
	o.planner.SetLimits(o.maxLoads, o.maxLoads/loadsPerCordonedTarget)
	targets = slices.DeleteFunc(targets, func(t rollout.Target) bool {
		return !t.Loading && now.Before(o.deferredUntil[t.Name])
	})
	o.holdTargets(v, targets, now)
	loads := o.startLoads(v, o.planner.Plan(targets, desired, o.g.now()), now)
	if closingChanged := o.updateClosing(v, targets, desired, now); closingChanged || len(loads) > 0 {
		o.announce()
	}
	return loads
}

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }

// sendOrder sends one order if the lease is held immediately before. It returns "" unless it is
// certain that the target did not accept the order; then it returns the reason.
func (o *rolloutController) sendOrder(ctx context.Context, l *plannedLoad, seq uint64) string {
	t := l.target
	token, held := o.awaitLease(ctx, l.notice)
	if !held {
		return "lease lapsed before the order"
	}
	if err := o.checkServing(t); err != nil {
		return err.Error()
	}
	if !o.beginOrder(t.ID) {
		return "another holder may have ordered it within the lease gap"
	}
	metric.Orders.Inc()
	source := registry.Source{Channel: string(fromOrder), RequestSent: o.g.now()}
	notice, err := o.g.engines.Load(ctx, LoadOrder{Target: t.Name, Address: t.Address, Model: l.Model, Version: l.version, Holder: o.g.settings().Name,
		Token: token, ExpectedSeq: seq, InterruptRuns: !l.finish})
	notice = noticeOf(notice, err)
	o.g.applyNotice(t, notice, source)
	o.g.log.WithField("target", t.ID).WithField("model", l.Model).WithField("version", l.version).WithField("token", token).
		WithField("expected", seq).WithField("error", errText(err)).Info("load ordered")
	o.deferLoads(t, notice.Backoff)
	var callErr *CallError
	if errors.As(err, &callErr) && callErr.Status != 0 && callErr.Status != http.StatusConflict {
		return "refused with status " + strconv.Itoa(callErr.Status)
	}
	return ""
}

// beginOrder records an order to a target unless the target is guarded: another holder may have had the
// lease since the load was planned.
func (o *rolloutController) beginOrder(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.g.now()
	if o.guard.Blocks(id, now) {
		return false
	}
	o.ordered[id] = now
	return true
}

// awaitLoad polls reports until the version is loaded, and returns the outcome.
func (o *rolloutController) awaitLoad(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	orderedAt := o.g.now()
	wait.For(ctx, minLoadTime)
	for wait.For(ctx, o.pollPause(t)) {
		r, err := o.fetchReport(ctx, t)
		var restarted *TargetRestartedError
		var leaving *TargetLeavingError
		if errors.As(err, &restarted) || errors.As(err, &leaving) {
			return err.Error()
		}
		if err != nil {
			continue // a lost report is requested again until the load times out
		}
		if o.recordIfLoaded(r, model, version, t) {
			return loadDone
		}
		if r.OrderInProgress || o.g.now().Sub(orderedAt) <= loadAcceptTime {
			continue
		}
		if r.OrderSeq != seq {
			return loadSuperseded
		}
		return "order not accepted"
	}
	return "timed out"
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// fetchReport requests a target's report. A report of another incarnation than the expected one
// is a failure: its orders and weights are not those of the expected incarnation.
func (o *rolloutController) fetchReport(ctx context.Context, t *catalog.Target) (Report, error) {
	if err := o.checkServing(t); err != nil {
		return Report{}, err
	}
	source := registry.Source{Channel: string(fromReport), RequestSent: o.g.now()}
	r, err := o.g.engines.Report(ctx, t.Address, t.Name)
	if r.Start != 0 {
		source.RequestSent = time.Time{} // the report names its incarnation
	}
	notice := noticeOf(r.Notice, err)
	o.deferLoads(t, notice.Backoff)
	o.g.applyNotice(reportingIncarnation(t, r), notice, source)
	if err == nil && r.Start != 0 && t.Start != 0 && r.Start != t.Start {
		return Report{}, &TargetRestartedError{Target: t.ID, Start: r.Start}
	}
	return r, err
}

// TargetRestartedError says that a target has restarted since its entry was read.
type TargetRestartedError struct {
	Target string // id of the expected incarnation
	Start  int64  // of the incarnation that responded, Unix ms
}

// Error implements error.
func (e *TargetRestartedError) Error() string {
	return e.Target + " has restarted at " + strconv.FormatInt(e.Start, 10)
}

// recordIfLoaded reports whether a target's report shows the version, and records it if so.
func (o *rolloutController) recordIfLoaded(r Report, model string, version uint64, t *catalog.Target) bool {
	for _, m := range r.Models {
		if m.Model == model && m.Version >= version {
			o.mu.Lock()
			o.loaded = append(o.loaded, LoadedTarget{Target: t.ID, Serves: m})
			o.mu.Unlock()
			o.g.sendEvent(targetWeightsObserved{id: t.ID, serves: m})
			return true
		}
	}
	return false
}
