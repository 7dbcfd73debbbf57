package gateway

import (
	"context"
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

// countingEngines are targets that count the reports and orders that reach them.
type countingEngines struct {
	Engines
	backoff         time.Duration // asked for as a report is refused; 0: reports are given
	asked           func()        // called with each report; nil: nothing
	orderBackoff    time.Duration // asked for as an order is refused; 0: orders are taken
	notice          Notice        // of the reports that are given
	loads           bool          // an order brings the weights at once
	ordered         func()        // called with each order; nil: nothing
	reports, orders int
}

// Report implements Engines.
func (e *countingEngines) Report(context.Context, string, string) (Report, error) {
	e.reports++
	if e.asked != nil {
		e.asked()
	}
	if e.backoff > 0 {
		return Report{}, &CallError{Call: "report", Status: http.StatusServiceUnavailable, Notice: Notice{Backoff: e.backoff}}
	}
	version := uint64(1)
	if e.loads && e.orders > 0 {
		version = 2
	}
	return Report{Models: []catalog.ModelVersion{{Model: "m", Version: version}}, Notice: e.notice}, nil
}

// Load implements Engines.
func (e *countingEngines) Load(context.Context, LoadOrder) (Notice, error) {
	e.orders++
	if e.ordered != nil {
		e.ordered()
	}
	if e.orderBackoff > 0 {
		return Notice{}, &CallError{Call: "order", Status: http.StatusServiceUnavailable, Notice: Notice{Backoff: e.orderBackoff}}
	}
	return Notice{}, nil
}

// loadFleet is an instance that holds the lease and may load at one target.
type loadFleet struct {
	*backoffFleet
	o      *rolloutController
	target *catalog.Target
}

// newLoadFleet plays such an instance.
func newLoadFleet(t *testing.T, e *countingEngines, play func(is *is.I, f *loadFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newBackoffFleet(t, 1, serve)
		defer f.end()
		g := f.gateways[0]
		g.engines = e
		l := &loadFleet{backoffFleet: f, o: g.rollout}
		for _, x := range g.view.Load().Targets {
			l.target = x
		}
		l.o.mu.Lock()
		l.o.maxLoads = 1
		l.o.lease = rollout.NewLease(rollout.LeaseParams{Term: time.Hour, Margin: time.Minute, RenewInterval: time.Hour}, "e-0")
		l.o.lease.WriteSucceeded(1, time.Now())
		l.o.mu.Unlock()
		play(is.New(t), l)
	})
}

// planned are the loads that are ordered next, while the target is behind.
func (f *loadFleet) planned() []rollout.Load {
	behind := *f.target
	behind.Models = []catalog.ModelVersion{{Model: "m", Version: 1}}
	v := *f.o.g.view.Load()
	v.Targets = map[string]*catalog.Target{behind.ID: &behind}
	v.NamedVersions = map[string]NamedVersions{"m": {Newest: 2}}
	return f.o.planLoads(&v)
}

// applyEvents brings a word of the target that came with an answer to a caller.
func (f *loadFleet) applyEvents(w Notice) {
	f.o.g.applyNotice(f.target, w, registry.Source{Channel: string(fromAnswer)})
}

// TestReportsWaitForBackoff guards against reports asked for in a rest that the target has asked for.
func TestReportsWaitForBackoff(t *testing.T) {
	const rest = 3 * time.Second
	e := &countingEngines{backoff: rest}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), rest-time.Millisecond)
		defer cancel()
		_, err := f.o.fetchReport(ctx, f.target)
		is.True(err != nil)
		f.o.awaitLoad(ctx, "m", 2, f.target, 0)
		is.Equal(e.reports, 1) // none in the rest
	})
}

// TestLoadContinuesInBackoff guards against weights that come late since their target has asked a caller for
// rest, and against more than a few reports in it.
func TestLoadContinuesInBackoff(t *testing.T) {
	const rest = 10 * time.Second
	for name, asks := range map[string]func(e *countingEngines, f *loadFleet){
		"before the report": func(_ *countingEngines, f *loadFleet) { f.applyEvents(Notice{Backoff: rest}) },
		"before the order": func(e *countingEngines, f *loadFleet) {
			e.asked = sync.OnceFunc(func() { f.applyEvents(Notice{Backoff: rest}) })
		},
		"after the order": func(e *countingEngines, f *loadFleet) { e.ordered = func() { f.applyEvents(Notice{Backoff: rest}) } },
	} {
		t.Run(name, func(t *testing.T) {
			e := &countingEngines{loads: true}
			newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
				asks(e, f)
				began := time.Now()
				is.Equal(f.o.performLoad(f.t.Context(), "m", 2, f.target), "done")
				is.True(time.Since(began) <= cordonTime+minLoadTime+maxBackoffPoll)
				is.Equal(e.orders, 1)
				is.Equal(e.reports, 2) // before the order, and when the weights are there
			})
		})
	}
}

// TestLoadIsPlannedInBackoff guards against weights that never come since callers' requests renew a rest
// again and again.
func TestLoadIsPlannedInBackoff(t *testing.T) {
	newLoadFleet(t, &countingEngines{}, func(is *is.I, f *loadFleet) {
		f.applyEvents(Notice{Backoff: time.Hour})
		is.Equal(len(f.planned()), 1)
	})
}

// TestNoLoadIsPlannedAfterRefusal guards against targets that are closed, and turns that are taken, for
// loads that would be refused again, and against a target that is held off for long.
func TestNoLoadIsPlannedAfterRefusal(t *testing.T) {
	newLoadFleet(t, &countingEngines{backoff: time.Hour}, func(is *is.I, f *loadFleet) {
		f.o.performLoad(f.t.Context(), "m", 2, f.target)
		is.Equal(len(f.planned()), 0)
		time.Sleep(maxDeferTime)
		is.Equal(len(f.planned()), 1)
	})
}

// TestReportsLeaveTimeToCallers guards against loads, planned one after the other, whose refused reports
// renew a rest again and again, so that callers are refused.
func TestReportsLeaveTimeToCallers(t *testing.T) {
	const during = 13 * time.Second
	newLoadFleet(t, &countingEngines{backoff: time.Second}, func(is *is.I, f *loadFleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), during)
		defer cancel()
		done := make(chan struct{})
		go func() {
			for ctx.Err() == nil {
				f.o.performLoad(ctx, "m", 2, f.target)
			}
			close(done)
		}()
		time.Sleep(time.Second)
		answers := f.sendLoad(pathSafe, 100*time.Millisecond, during-time.Second)
		<-done
		is.True(count(answers, backoffResponse.isBackoffRefusal) <= len(answers)/2)
		is.Equal(count(answers, backoffResponse.isBackoffRefusal)+count(answers, func(a backoffResponse) bool { return a.status == http.StatusOK }), len(answers))
	})
}

// TestLoadEndsAtLeavingTarget guards against reports and orders at a target that has said, since its load was planned, that it leaves.
func TestLoadEndsAtLeavingTarget(t *testing.T) {
	leave := func(f *loadFleet) {
		f.applyEvents(Notice{Leaving: true})
		synctest.Wait()
	}
	gone := func(f *loadFleet) {
		f.store.remove(memoryTargets, f.target.Name)
		time.Sleep(time.Minute)
	}
	for name, c := range map[string]struct {
		before, asked func(f *loadFleet) // called before the load, and in its first report
		reports       int
	}{
		"says so before the report":            {before: leave},
		"is gone before the report":            {before: gone},
		"says so to a caller before the order": {asked: leave, reports: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := &countingEngines{}
			newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
				if c.before != nil {
					c.before(f)
				}
				if c.asked != nil {
					e.asked = func() { c.asked(f) }
				}
				outcome := f.o.performLoad(f.t.Context(), "m", 2, f.target)
				is.Equal(e.reports, c.reports)
				is.Equal(e.orders, 0)
				is.True(strings.Contains(outcome, "leaves or is gone"))
			})
		})
	}
}

// TestLoadEndsAsReportSaysLeaving guards against an order that follows a report by which its target leaves.
func TestLoadEndsAsReportSaysLeaving(t *testing.T) {
	e := &countingEngines{notice: Notice{Leaving: true}}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		is.True(strings.Contains(f.o.performLoad(f.t.Context(), "m", 2, f.target), "leaves or is gone"))
		is.Equal(e.reports, 1)
		is.Equal(e.orders, 0)
	})
}

// TestFollowedLoadEndsAtLeavingTarget guards against reports asked of a target that has said that it leaves after it took an order.
func TestFollowedLoadEndsAtLeavingTarget(t *testing.T) {
	e := &countingEngines{notice: Notice{Leaving: true}}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		outcome := f.o.awaitLoad(f.t.Context(), "m", 2, f.target, 0)
		is.True(strings.Contains(outcome, "leaves or is gone"))
		is.Equal(e.reports, 1)
	})
}

// TestRefusedOrderIsNotRepeatedAtOnce guards against loads, planned one after the other, whose refused orders renew a rest again and again.
func TestRefusedOrderIsNotRepeatedAtOnce(t *testing.T) {
	const rest, during = time.Second, 12 * time.Second
	e := &countingEngines{orderBackoff: rest}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), during)
		defer cancel()
		for ctx.Err() == nil {
			f.o.performLoad(ctx, "m", 2, f.target)
		}
		is.True(e.orders > 1)
		is.True(e.orders <= int(during/(deferFactor*rest)))
	})
}
