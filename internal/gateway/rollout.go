package gateway

import (
	"cmp"
	"context"
	"errors"
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
	// maxContenders is how many instances stand by for the lease; the others cost the
	// store nothing.
	maxContenders = 4
	// contenderDelay is how much later each next contender tries for a free lease.
	contenderDelay = 700 * time.Millisecond
	// leaseRenewInterval is how often a holder that waits for loads renews, so that the
	// contenders see it alive.
	leaseRenewInterval = 400 * time.Millisecond
	// leaseWatchTimeout is how long a contender's watch of the lease waits: it changes
	// only during rollouts.
	leaseWatchTimeout = 20 * time.Second
	// loadTimeout is the longest time that one load may take: runs finish first.
	loadTimeout = 15 * time.Second
	// loadPollInterval is how often a load's progress is asked for.
	loadPollInterval = 100 * time.Millisecond
	// loadAcceptTime is how long after an order without effect it is given again: a
	// report lags some hundred ms.
	loadAcceptTime = 900 * time.Millisecond
	// minServingShare is the share of a model's targets that keep serving.
	minServingShare = 0.5
	// planAhead is one target closed to new requests for so many that may load: a
	// load takes about twice as long as a target is closed before it.
	planAhead = 3
	// cordonTime is how long a target is closed before its order: instances hear of
	// it in milliseconds, and most short answers end meanwhile.
	cordonTime = 500 * time.Millisecond
	// minLoadTime is the time before the first look at a load: none was seen faster.
	minLoadTime = 600 * time.Millisecond
	// renewTries is how often an order that is due looks for the lease's renewal.
	renewTries = 20
	// rolloutUpdateInterval is how often the holder repeats what it does.
	rolloutUpdateInterval = time.Second
)

// rolloutController gives orders while this instance holds the lease.
type rolloutController struct {
	g            *Gateway
	workSince    time.Time // since when there is work; zero: none
	lastLeaseTry time.Time // last try to take or renew the lease

	renewals     uint64
	renewWanted  atomic.Bool // an order waits for the lease to be renewed
	leaseWatched atomic.Bool // the watch tells of changes of the lease

	mu           sync.Mutex // guards the rest
	lease        *rollout.Lease
	planner      *rollout.Planner
	loading      map[string]bool // ids of targets with a load planned or under way
	runningLoads int             // loads under way
	maxLoads     int             // that may be
	loaded       []LoadedTarget  // in this hold of the lease
	fencingToken uint64          // of this hold
	updateSeq    uint64          // of the news told
	lastUpdate   time.Time       // when
	guard        handoverGuard   // after another's hold

	deferredUntil map[string]time.Time // ids of targets, see deferLoads
}

// runRollouts brings targets to the weight versions named, while the lease is here.
// The lease lapses when there is nothing to do; whoever ranks first takes it.
func (g *Gateway) runRollouts(ctx context.Context) {
	o := g.rollout
	g.spawn(func() { o.watchLease(ctx) })
	for wait.For(ctx, rolloutTick) {
		o.runRound(ctx)
	}
}

func newRolloutController(g *Gateway) *rolloutController {
	set := g.settings()
	return &rolloutController{g: g, lease: rollout.NewLease(leaseParams, set.Name), planner: rollout.NewPlanner(loadTimeout), loading: map[string]bool{}, maxLoads: rollout.DefaultMaxLoads, deferredUntil: map[string]time.Time{}}
}

// runRound does what is due now.
func (o *rolloutController) runRound(ctx context.Context) {
	v := o.g.view.Load()
	behind := v.Outdated
	if len(behind) == 0 || v.Draining {
		o.workSince = time.Time{}
		return
	}
	now := o.g.now()
	if o.workSince.IsZero() {
		o.workSince = now
	}
	rank := rankOf(v.Attached, o.g.settings().Name, leaseName)
	if rank >= maxContenders || now.Sub(o.workSince) < time.Duration(rank)*contenderDelay {
		return
	}
	if now.Sub(o.lastLeaseTry) >= leaseRenewInterval || o.renewWanted.Swap(false) || !o.allStarted(len(behind)) {
		o.maintainLease(ctx)
	}
	for _, l := range o.planLoads(v) {
		o.g.spawn(func() { o.runLoad(ctx, l, v.Targets[l.Target]) })
	}
	o.repeatUpdate()
}

// allStarted says that all loads that may be under way are.
func (o *rolloutController) allStarted(behind int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.loading) >= min(o.maxLoads+o.maxLoads/planAhead, behind)
}

// repeatUpdate tells the other instances what this one does, again and again as long
// as it does anything.
func (o *rolloutController) repeatUpdate() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loading) > 0 && o.g.now().Sub(o.lastUpdate) >= rolloutUpdateInterval {
		o.announce()
	}
}

// announce makes news of what is closed and what has arrived; o.mu is held.
func (o *rolloutController) announce() {
	o.updateSeq++
	o.lastUpdate = o.g.now()
	news := RolloutUpdate{Holder: o.g.settings().Name, Stamp: RolloutStamp{Token: o.fencingToken, Seq: o.updateSeq}, Loaded: slices.Clone(o.loaded)}
	for id := range o.loading {
		news.Cordoned = append(news.Cordoned, id)
	}
	slices.Sort(news.Cordoned)
	o.g.sendEvent(rolloutReceived{update: news, own: true})
}

// rankOf is an instance's place among the live ones for a role, the same at all
// of them.
func rankOf(alive []string, self, role string) int {
	return rendezvous.Rank(alive, self, role)
}

// planLoads chooses the loads to order now; none without the lease.
func (o *rolloutController) planLoads(v *View) []rollout.Load {
	var targets []rollout.Target
	now, age := o.g.now(), map[string]time.Duration{}
	wishes := map[string]rollout.DesiredVersion{}
	for model, n := range v.NamedVersions {
		wishes[model] = rollout.DesiredVersion{Version: versionText(n.Newest), MinReady: minServingShare}
	}
	o.mu.Lock()
	fenced := o.guard
	o.mu.Unlock()
	for _, t := range v.Targets {
		if t.IsLeaving() || !v.Config.HasService(t.Service) || fenced.blocks(t.ID, now) {
			continue
		}
		for _, m := range t.Models {
			at := min(m.Version, v.NamedVersions[m.Model].Newest) // newer than we know of is as good
			targets = append(targets, rollout.Target{Name: t.ID, Model: m.Model, Version: versionText(at), Ready: true})
			age[t.ID] = v.NamedVersions[m.Model].outdatedFor(m.Version, now)
		}
	}
	// Those that have been behind for longest go first; else in an order that
	// mixes the zones.
	slices.SortFunc(targets, func(a, b rollout.Target) int {
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
	o.maxLoads = rollout.MaxConcurrentLoads(len(targets))
	o.planner.SetLimits(o.maxLoads, o.maxLoads/planAhead)
	targets = slices.DeleteFunc(targets, func(t rollout.Target) bool {
		return !t.Loading && now.Before(o.deferredUntil[t.Name])
	})
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

// runLoad orders one load and follows it to its end.
func (o *rolloutController) runLoad(ctx context.Context, l rollout.Load, t *catalog.Target) {
	version, err := strconv.ParseUint(l.Version, 10, 64)
	if err != nil {
		panic(err) // versionText made it
	}
	began := o.g.now()
	outcome := o.performLoad(ctx, l.Model, version, t)
	o.mu.Lock()
	delete(o.loading, l.Target)
	o.planner.LoadEnded(l, false)
	o.announce()
	o.mu.Unlock()
	o.g.log.WithField("target", l.Target).WithField("model", l.Model).WithField("version", version).WithField("outcome", outcome).
		WithField("ms", o.g.now().Sub(began).Milliseconds()).Info("load ended")
}

// performLoad closes a target, gives the order and waits for its effect. It returns
// how it ended.
func (o *rolloutController) performLoad(ctx context.Context, model string, version uint64, t *catalog.Target) string {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	wait.For(ctx, cordonTime)
	for !o.acquireSlot() {
		if !wait.For(ctx, rolloutTick/2) {
			return "no turn in time"
		}
	}
	defer o.releaseSlot()
	if err := o.checkDeferred(t); err != nil {
		return err.Error()
	}
	before, err := o.fetchReport(ctx, t)
	if err != nil {
		return "no report: " + err.Error()
	}
	if o.recordIfLoaded(before, model, version, t) {
		return "already there"
	}
	if before.Notice.Leaving {
		return (&TargetLeavingError{Target: t.ID}).Error()
	}
	if refusal := o.sendOrder(ctx, model, version, t, before.OrderSeq); refusal != "" {
		return refusal
	}
	return o.awaitLoad(ctx, model, version, t, before.OrderSeq)
}

// acquireSlot takes a turn to load, if one is free.
func (o *rolloutController) acquireSlot() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runningLoads >= o.maxLoads {
		return false
	}
	o.runningLoads++
	return true
}

// releaseSlot gives the turn back.
func (o *rolloutController) releaseSlot() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runningLoads--
}

// sendOrder gives one order, if the lease is held right before. It returns "" unless
// the target surely did not take it.
func (o *rolloutController) sendOrder(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	token, held := o.awaitLease(ctx)
	if !held {
		return "lease lapsed before the order"
	}
	if err := o.checkServing(t); err != nil {
		return err.Error()
	}
	metric.Orders.Inc()
	by := registry.Source{Channel: string(fromOrder), RequestSent: o.g.now()}
	word, err := o.g.engines.Load(ctx, LoadOrder{Target: t.Name, Address: t.Address, Model: model, Version: version, Holder: o.g.settings().Name,
		Token: token, ExpectedSeq: seq, InterruptRuns: true})
	word = noticeOf(word, err)
	o.g.applyNotice(t, word, by)
	o.g.log.WithField("target", t.ID).WithField("model", model).WithField("version", version).WithField("token", token).
		WithField("expected", seq).WithField("error", errText(err)).Info("load ordered")
	o.deferLoads(t, word.Backoff)
	var call *CallError
	if errors.As(err, &call) && call.Status != 0 && call.Status != http.StatusConflict {
		return "refused with status " + strconv.Itoa(call.Status)
	}
	return ""
}

// awaitLoad asks for reports until the version is there.
func (o *rolloutController) awaitLoad(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	sent := o.g.now()
	wait.For(ctx, minLoadTime)
	for wait.For(ctx, o.pollPause(t)) {
		r, err := o.fetchReport(ctx, t)
		var again *TargetRestartedError
		var leaves *TargetLeavingError
		if errors.As(err, &again) || errors.As(err, &leaves) {
			return err.Error()
		}
		if err != nil {
			continue // a report that is lost is asked for again, until the load's time is over
		}
		if o.recordIfLoaded(r, model, version, t) {
			return "done"
		}
		if !r.OrderInProgress && r.OrderSeq == seq && o.g.now().Sub(sent) > loadAcceptTime {
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

// fetchReport asks a target for its report. That of another life than meant is a failure:
// its orders and weights are not those of the one that is asked.
func (o *rolloutController) fetchReport(ctx context.Context, t *catalog.Target) (Report, error) {
	if err := o.checkServing(t); err != nil {
		return Report{}, err
	}
	by := registry.Source{Channel: string(fromReport), RequestSent: o.g.now()}
	r, err := o.g.engines.Report(ctx, t.Address, t.Name)
	if r.Start != 0 {
		by.RequestSent = time.Time{} // it tells its life
	}
	word := noticeOf(r.Notice, err)
	o.deferLoads(t, word.Backoff)
	o.g.applyNotice(reportingIncarnation(t, r), word, by)
	if err == nil && r.Start != 0 && t.Start != 0 && r.Start != t.Start {
		return Report{}, &TargetRestartedError{Target: t.ID, Start: r.Start}
	}
	return r, err
}

// TargetRestartedError says that a target has started again since its entry was read.
type TargetRestartedError struct {
	Target string // the life that was meant
	Start  int64  // of the one that answered, Unix ms
}

// Error implements error.
func (e *TargetRestartedError) Error() string {
	return e.Target + " has started again at " + strconv.FormatInt(e.Start, 10)
}

// recordIfLoaded says whether a report shows the version, and takes note of it.
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
