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
	// planAhead is one target closed to new requests for so many that may load: a
	// load takes about twice as long as a target is closed before it.
	planAhead = 3
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

// rolloutController gives orders while this instance holds the lease.
type rolloutController struct {
	g       *Gateway
	due     time.Time // since when there is work; zero: none
	renewed time.Time // last try to take or renew the lease

	renewals uint64
	wanted   atomic.Bool // an order waits for the lease to be renewed
	watched  atomic.Bool // the watch tells of changes of the lease

	mu      sync.Mutex // guards the rest
	lease   *rollout.Lease
	planner *rollout.Planner
	loading map[string]bool // ids of targets with a load planned or under way
	running int             // loads under way
	most    int             // that may be
	arrived []Arrival       // in this hold of the lease
	token   uint64          // of this hold
	seq     uint64          // of the news told
	told    time.Time       // when
	fenced  fence           // after another's hold

	heldOff map[string]time.Time // ids of targets, see holdOff
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

func newRollout(g *Gateway) *rolloutController {
	set := g.settings()
	return &rolloutController{g: g, lease: rollout.NewLease(leaseParams, set.Name), planner: rollout.NewPlanner(loadTime), loading: map[string]bool{}, most: rollout.DefaultMaxLoads, heldOff: map[string]time.Time{}}
}

// round does what is due now.
func (o *rolloutController) round(ctx context.Context) {
	v := o.g.view.Load()
	behind := v.Behind
	if len(behind) == 0 || v.Draining {
		o.due = time.Time{}
		return
	}
	now := o.g.now()
	if o.due.IsZero() {
		o.due = now
	}
	rank := rankOf(v.Attached, o.g.settings().Name, leaseName)
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
func (o *rolloutController) idle(behind int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.loading) >= min(o.most+o.most/planAhead, behind)
}

// tellNews tells the other instances what this one does, again and again as long
// as it does anything.
func (o *rolloutController) tellNews() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loading) > 0 && o.g.now().Sub(o.told) >= newsEvery {
		o.announce()
	}
}

// announce makes news of what is closed and what has arrived; o.mu is held.
func (o *rolloutController) announce() {
	o.seq++
	o.told = o.g.now()
	news := RolloutNews{Holder: o.g.settings().Name, Stamp: RolloutStamp{Token: o.token, Seq: o.seq}, Arrived: slices.Clone(o.arrived)}
	for id := range o.loading {
		news.Closing = append(news.Closing, id)
	}
	slices.Sort(news.Closing)
	o.g.send(rolloutHeard{news: news, own: true})
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
	for model, n := range v.Named {
		wishes[model] = rollout.DesiredVersion{Version: versionText(n.Version), MinReady: leastServing}
	}
	o.mu.Lock()
	fenced := o.fenced
	o.mu.Unlock()
	for _, t := range v.Targets {
		if t.IsLeaving() || !v.Config.HasService(t.Service) || fenced.blocks(t.ID, now) {
			continue
		}
		for _, m := range t.Models {
			at := min(m.Version, v.Named[m.Model].Version) // newer than we know of is as good
			targets = append(targets, rollout.Target{Name: t.ID, Model: m.Model, Version: versionText(at), Ready: true})
			age[t.ID] = v.Named[m.Model].behindFor(m.Version, now)
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
	o.most = rollout.MaxConcurrentLoads(len(targets))
	o.planner.SetLimits(o.most, o.most/planAhead)
	targets = slices.DeleteFunc(targets, func(t rollout.Target) bool {
		return !t.Loading && now.Before(o.heldOff[t.Name])
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

// load orders one load and follows it to its end.
func (o *rolloutController) load(ctx context.Context, l rollout.Load, t *catalog.Target) {
	version, err := strconv.ParseUint(l.Version, 10, 64)
	if err != nil {
		panic(err) // versionText made it
	}
	began := o.g.now()
	outcome := o.follow(ctx, l.Model, version, t)
	o.mu.Lock()
	delete(o.loading, l.Target)
	o.planner.LoadEnded(l, false)
	o.announce()
	o.mu.Unlock()
	o.g.log.WithField("target", l.Target).WithField("model", l.Model).WithField("version", version).WithField("outcome", outcome).
		WithField("ms", o.g.now().Sub(began).Milliseconds()).Info("load ended")
}

// follow closes a target, gives the order and waits for its effect. It returns
// how it ended.
func (o *rolloutController) follow(ctx context.Context, model string, version uint64, t *catalog.Target) string {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	wait.For(ctx, closeTime)
	for !o.begin() {
		if !wait.For(ctx, rolloutTick/2) {
			return "no turn in time"
		}
	}
	defer o.end()
	if err := o.mayBegin(t); err != nil {
		return err.Error()
	}
	before, err := o.report(ctx, t)
	if err != nil {
		return "no report: " + err.Error()
	}
	if o.hasArrived(before, model, version, t) {
		return "already there"
	}
	if before.Word.Leaving {
		return (&LeavesError{Target: t.ID}).Error()
	}
	if refusal := o.order(ctx, model, version, t, before.OrderSeq); refusal != "" {
		return refusal
	}
	return o.await(ctx, model, version, t, before.OrderSeq)
}

// begin takes a turn to load, if one is free.
func (o *rolloutController) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running >= o.most {
		return false
	}
	o.running++
	return true
}

// end gives the turn back.
func (o *rolloutController) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
}

// order gives one order, if the lease is held right before. It returns "" unless
// the target surely did not take it.
func (o *rolloutController) order(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	token, held := o.holdFor(ctx)
	if !held {
		return "lease lapsed before the order"
	}
	if err := o.stays(t); err != nil {
		return err.Error()
	}
	metric.Orders.Inc()
	by := registry.Source{Channel: string(fromOrder), RequestSent: o.g.now()}
	word, err := o.g.engines.Load(ctx, LoadOrder{Target: t.Name, Address: t.Address, Model: model, Version: version, Holder: o.g.settings().Name,
		Token: token, ExpectedSeq: seq, Cut: true})
	word = wordOf(word, err)
	o.g.hearWord(t, word, by)
	o.g.log.WithField("target", t.ID).WithField("model", model).WithField("version", version).WithField("token", token).
		WithField("expected", seq).WithField("error", errText(err)).Info("load ordered")
	o.holdOff(t, word.Rest)
	var call *CallError
	if errors.As(err, &call) && call.Status != 0 && call.Status != http.StatusConflict {
		return "refused with status " + strconv.Itoa(call.Status)
	}
	return ""
}

// await asks for reports until the version is there.
func (o *rolloutController) await(ctx context.Context, model string, version uint64, t *catalog.Target, seq uint64) string {
	sent := o.g.now()
	wait.For(ctx, loadLeast)
	for wait.For(ctx, o.pollPause(t)) {
		r, err := o.report(ctx, t)
		var again *StartedAgainError
		var leaves *LeavesError
		if errors.As(err, &again) || errors.As(err, &leaves) {
			return err.Error()
		}
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

// report asks a target for its report. That of another life than meant is a failure:
// its orders and weights are not those of the one that is asked.
func (o *rolloutController) report(ctx context.Context, t *catalog.Target) (Report, error) {
	if err := o.stays(t); err != nil {
		return Report{}, err
	}
	by := registry.Source{Channel: string(fromReport), RequestSent: o.g.now()}
	r, err := o.g.engines.Report(ctx, t.Address, t.Name)
	if r.Start != 0 {
		by.RequestSent = time.Time{} // it tells its life
	}
	word := wordOf(r.Word, err)
	o.holdOff(t, word.Rest)
	o.g.hearWord(reporter(t, r), word, by)
	if err == nil && r.Start != 0 && t.Start != 0 && r.Start != t.Start {
		return Report{}, &StartedAgainError{Target: t.ID, Start: r.Start}
	}
	return r, err
}

// StartedAgainError says that a target has started again since its entry was read.
type StartedAgainError struct {
	Target string // the life that was meant
	Start  int64  // of the one that answered, Unix ms
}

// Error implements error.
func (e *StartedAgainError) Error() string {
	return e.Target + " has started again at " + strconv.FormatInt(e.Start, 10)
}

// hasArrived says whether a report shows the version, and takes note of it.
func (o *rolloutController) hasArrived(r Report, model string, version uint64, t *catalog.Target) bool {
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
