package gateway

import (
	"context"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// countingEngines count the reports and orders that reach the targets.
type countingEngines struct {
	Engines
	backoff          time.Duration // requested as a report is refused; 0: reports succeed
	onReport         func()        // called with each report; nil: nothing
	orderBackoff     time.Duration // requested as an order is refused; 0: orders are accepted
	notice           Notice        // of the reports that succeed
	loadsImmediately bool          // an order loads the weights at once
	onOrder          func()        // called with each order; nil: nothing
	lateOrder        bool          // the target carries out a late order instead of the first one sent to it
	reports, orders  int
}

// Report implements Engines.
func (e *countingEngines) Report(context.Context, string, string) (Report, error) {
	e.reports++
	if e.onReport != nil {
		e.onReport()
	}
	if e.backoff > 0 {
		return Report{}, &CallError{Call: "report", Status: http.StatusServiceUnavailable, Notice: Notice{Backoff: e.backoff}}
	}
	version := uint64(1)
	if e.loadsImmediately && e.orders > 0 {
		version = 2
	}
	seq := uint64(0)
	if e.lateOrder && e.orders > 0 {
		seq = 1
	}
	return Report{Models: []catalog.ModelVersion{{Model: "m", Version: version}}, OrderSeq: seq, Notice: e.notice}, nil
}

// Load implements Engines.
func (e *countingEngines) Load(context.Context, LoadOrder) (Notice, error) {
	e.orders++
	if e.onOrder != nil {
		e.onOrder()
	}
	if e.orderBackoff > 0 {
		return Notice{}, &CallError{Call: "order", Status: http.StatusServiceUnavailable, Notice: Notice{Backoff: e.orderBackoff}}
	}
	return Notice{}, nil
}

// loadFleet is an instance that holds the lease and may load weights at one target.
type loadFleet struct {
	*backoffFleet
	o      *rolloutController
	target *catalog.Target
}

// newLoadFleet runs a test on such a fleet under a fake clock.
func newLoadFleet(t *testing.T, e *countingEngines, test func(is *is.I, f *loadFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newBackoffFleet(t, 1, serve)
		defer f.end()
		g := f.gateways[0]
		g.engines = e
		l := &loadFleet{backoffFleet: f, o: g.rollout}
		for _, target := range g.view.Load().Targets {
			l.target = target
		}
		l.o.mu.Lock()
		l.o.maxLoads = 1
		l.o.lease = rollout.NewLease(rollout.LeaseParams{Term: time.Hour, Margin: time.Minute, RenewInterval: time.Hour}, rollout.Holder{Name: "e-0"})
		l.o.lease.BeginWrite(time.Now(), math.MaxUint64)
		l.o.lease.WriteSucceeded(1)
		l.o.mu.Unlock()
		test(is.New(t), l)
	})
}

// load returns a load of the target's weights that has just been planned.
func (f *loadFleet) load() *plannedLoad {
	return &plannedLoad{Load: rollout.Load{Target: f.target.ID, Model: "m", Version: "2"}, version: 2, target: f.target, plannedAt: time.Now()}
}

// planNextLoads returns the loads that are planned while the target is outdated.
func (f *loadFleet) planNextLoads() []*plannedLoad {
	outdated := *f.target
	outdated.Models = []catalog.ModelVersion{{Model: "m", Version: 1}}
	v := *f.o.g.view.Load()
	v.Targets = map[string]*catalog.Target{outdated.ID: &outdated}
	v.NamedVersions = map[string]rollout.NamedVersions{"m": {Newest: 2}}
	return f.o.planLoads(&v)
}

// applyCallerNotice applies a notice of the target that came with the response to a caller's
// request.
func (f *loadFleet) applyCallerNotice(notice Notice) {
	f.o.g.applyNotice(f.target, notice, registry.Source{Channel: string(fromAnswer)})
}

// TestReportsWaitForBackoff guards against reports requested during a backoff that the target has
// requested.
func TestReportsWaitForBackoff(t *testing.T) {
	const backoff = 3 * time.Second
	e := &countingEngines{backoff: backoff}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), backoff-time.Millisecond)
		defer cancel()
		_, err := f.o.fetchReport(ctx, f.target)
		is.True(err != nil)
		f.o.awaitLoad(ctx, "m", 2, f.target, 0)
		is.Equal(e.reports, 1) // none during the backoff
	})
}

// TestLoadContinuesInBackoff guards against a load delayed by a backoff that the target requested in
// the response to a caller, and against more than a few reports during the backoff.
func TestLoadContinuesInBackoff(t *testing.T) {
	const backoff = 10 * time.Second
	for name, arrange := range map[string]func(e *countingEngines, f *loadFleet){
		"before the report": func(_ *countingEngines, f *loadFleet) { f.applyCallerNotice(Notice{Backoff: backoff}) },
		"before the order": func(e *countingEngines, f *loadFleet) {
			e.onReport = sync.OnceFunc(func() { f.applyCallerNotice(Notice{Backoff: backoff}) })
		},
		"after the order": func(e *countingEngines, f *loadFleet) {
			e.onOrder = func() { f.applyCallerNotice(Notice{Backoff: backoff}) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := &countingEngines{loadsImmediately: true}
			newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
				arrange(e, f)
				startedAt := time.Now()
				is.Equal(f.o.performLoad(f.t.Context(), f.load()), "done")
				is.True(time.Since(startedAt) <= rollout.CordonTime+minLoadTime+maxBackoffPoll)
				is.Equal(e.orders, 1)
				is.Equal(e.reports, 2) // before the order, and when the weights are loaded
			})
		})
	}
}

// TestLoadIsPlannedInBackoff guards against weights that are never loaded because callers' requests
// renew the backoff again and again.
func TestLoadIsPlannedInBackoff(t *testing.T) {
	newLoadFleet(t, &countingEngines{}, func(is *is.I, f *loadFleet) {
		f.applyCallerNotice(Notice{Backoff: time.Hour})
		is.Equal(len(f.planNextLoads()), 1)
	})
}

// TestNoLoadIsPlannedAfterRefusal guards against targets cordoned and load slots used for loads that
// would be refused again, and against loads at a target being deferred for too long.
func TestNoLoadIsPlannedAfterRefusal(t *testing.T) {
	newLoadFleet(t, &countingEngines{backoff: time.Hour}, func(is *is.I, f *loadFleet) {
		f.o.performLoad(f.t.Context(), f.load())
		is.Equal(len(f.planNextLoads()), 0)
		time.Sleep(maxDeferTime)
		is.Equal(len(f.planNextLoads()), 1)
	})
}

// TestReportsLeaveTimeToCallers guards against successive loads whose refused reports renew the
// backoff again and again, so that callers are refused.
func TestReportsLeaveTimeToCallers(t *testing.T) {
	const duration = 13 * time.Second
	newLoadFleet(t, &countingEngines{backoff: time.Second}, func(is *is.I, f *loadFleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), duration)
		defer cancel()
		done := make(chan struct{})
		go func() {
			for ctx.Err() == nil {
				f.o.performLoad(ctx, f.load())
			}
			close(done)
		}()
		time.Sleep(time.Second)
		responses := f.sendLoad(pathSafe, 100*time.Millisecond, duration-time.Second)
		<-done
		is.True(count(responses, backoffResponse.isBackoffRefusal) <= len(responses)/2)
		is.Equal(count(responses, backoffResponse.isBackoffRefusal)+count(responses, func(a backoffResponse) bool { return a.status == http.StatusOK }), len(responses))
	})
}

// TestLoadEndsAtLeavingTarget guards against reports and orders sent to a target that has announced,
// since its load was planned, that it is leaving.
func TestLoadEndsAtLeavingTarget(t *testing.T) {
	announceLeaving := func(f *loadFleet) {
		f.applyCallerNotice(Notice{Leaving: true})
		synctest.Wait()
	}
	removeEntry := func(f *loadFleet) {
		f.store.remove(memoryTargets, f.target.Name)
		time.Sleep(time.Minute)
	}
	for name, c := range map[string]struct {
		before, onReport func(f *loadFleet) // called before the load, and in its first report
		reports          int
	}{
		"announced before the report":            {before: announceLeaving},
		"gone before the report":                 {before: removeEntry},
		"announced to a caller before the order": {onReport: announceLeaving, reports: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := &countingEngines{}
			newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
				if c.before != nil {
					c.before(f)
				}
				if c.onReport != nil {
					e.onReport = func() { c.onReport(f) }
				}
				outcome := f.o.performLoad(f.t.Context(), f.load())
				is.Equal(e.reports, c.reports)
				is.Equal(e.orders, 0)
				is.True(strings.Contains(outcome, "is leaving or gone"))
			})
		})
	}
}

// TestLoadEndsAsReportSaysLeaving guards against an order sent after a report in which the target
// announces that it is leaving.
func TestLoadEndsAsReportSaysLeaving(t *testing.T) {
	e := &countingEngines{notice: Notice{Leaving: true}}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		is.True(strings.Contains(f.o.performLoad(f.t.Context(), f.load()), "is leaving or gone"))
		is.Equal(e.reports, 1)
		is.Equal(e.orders, 0)
	})
}

// TestFollowedLoadEndsAtLeavingTarget guards against further reports requested from a target that
// announces, after it accepted an order, that it is leaving.
func TestFollowedLoadEndsAtLeavingTarget(t *testing.T) {
	e := &countingEngines{notice: Notice{Leaving: true}}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		outcome := f.o.awaitLoad(f.t.Context(), "m", 2, f.target, 0)
		is.True(strings.Contains(outcome, "is leaving or gone"))
		is.Equal(e.reports, 1)
	})
}

// TestRefusedOrderIsNotRepeatedAtOnce guards against successive loads whose refused orders renew the
// backoff again and again.
func TestRefusedOrderIsNotRepeatedAtOnce(t *testing.T) {
	const backoff, duration = time.Second, 12 * time.Second
	e := &countingEngines{orderBackoff: backoff}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), duration)
		defer cancel()
		for ctx.Err() == nil {
			f.o.performLoad(ctx, f.load())
		}
		is.True(e.orders > 1)
		is.True(e.orders <= int(duration/(deferFactor*backoff)))
	})
}

// TestLoadEndsAfterAnotherOrder guards against a load that waits for its time limit after the target has
// carried out a late order of an older version instead of this one.
func TestLoadEndsAfterAnotherOrder(t *testing.T) {
	newLoadFleet(t, &countingEngines{lateOrder: true}, func(is *is.I, f *loadFleet) {
		startedAt := time.Now()
		is.Equal(f.o.performLoad(f.t.Context(), f.load()), loadSuperseded)
		is.True(time.Since(startedAt) < 3*time.Second)
	})
}
