package daemon

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/view"
)

// control is the mutable control state. Only the control goroutine accesses it;
// other goroutines send events and read the published view.
type control struct {
	cfg      *view.Config
	buckets  map[string][]byte // contents of the configuration buckets in force, by hash
	targets  *observe.Tracker
	members  *member.Machine
	draining bool            // set by Shutdown
	snapshot *route.Snapshot // last one published
	// allProbed is true from the first time that every target was probed. It stays
	// true, so that a target added later does not make the instance unready.
	allProbed bool
	now       func() time.Time
}

// event is a change of the control state. apply runs on the control goroutine.
type event interface{ apply(*control) }

// configAccepted carries a complete and verified generation of the configuration.
type configAccepted struct {
	cfg     *view.Config
	buckets map[string][]byte
}

func (e configAccepted) apply(c *control) {
	if c.cfg != nil && e.cfg.Head.Generation <= c.cfg.Head.Generation {
		return // generations only increase
	}
	c.cfg, c.buckets = e.cfg, e.buckets
	c.targets.SetTargets(targetSpecs(e.cfg))
}

func targetSpecs(cfg *view.Config) []observe.Spec {
	out := make([]observe.Spec, 0, len(cfg.Bundle.Targets))
	for _, t := range cfg.Bundle.Targets {
		slots := t.Slots
		if slots == 0 {
			slots = config.DefaultSlots
		}
		out = append(out, observe.Spec{Name: t.Name, Address: t.Address, Zone: t.Zone, Model: t.Model, Slots: slots, Drained: cfg.Drained[t.Name]})
	}
	return out
}

// targetReported carries a target's report.
type targetReported struct {
	name   string
	report observe.Report
}

func (e targetReported) apply(c *control) { c.targets.RecordReport(e.name, e.report, c.now()) }

// targetProbeFailed reports a probe of a target that got no response.
type targetProbeFailed struct{ name string }

func (e targetProbeFailed) apply(c *control) { c.targets.RecordFailure(e.name, c.now()) }

// machinesListed carries the names of leaving machines from the platform's list,
// which may lag behind.
type machinesListed struct{ leaving map[string]bool }

func (e machinesListed) apply(c *control) { c.targets.SetLeaving(e.leaving) }

// queryEvent runs f on the control goroutine and then closes done.
type queryEvent struct {
	f    func(*control)
	done chan struct{}
}

func (e queryEvent) apply(c *control) {
	e.f(c)
	close(e.done)
}

// buildView builds the immutable view that request goroutines read.
func (c *control) buildView(self string) *view.View {
	out := &view.View{Config: c.cfg, Targets: route.NewSnapshot(c.targets.Targets(c.now()), c.snapshot), Draining: c.draining}
	c.snapshot = out.Targets
	c.allProbed = c.allProbed || (c.cfg != nil && c.targets.AllObserved())
	out.TargetsProbed = c.allProbed
	if c.cfg != nil && c.cfg.Drained[self] {
		out.Draining = true
	}
	alive := 0
	for _, m := range c.members.Members() {
		if m.State <= member.Suspect {
			alive++
		}
		if m.State == member.Alive {
			out.Observers = append(out.Observers, observe.Observer{Name: m.Name, Zone: m.Zone})
		}
	}
	out.Instances = max(alive, 1)
	return out
}

// publishInterval limits how often a view is built: targets report often, and each
// view costs a pass over all targets. A new configuration is published at once.
const publishInterval = 100 * time.Millisecond

// run is the loop of the control goroutine.
func (d *Daemon) run(ctx context.Context, c *control) {
	defer close(d.controlDone)
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	dirty := true
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			e.apply(c)
			dirty = true
			if _, now := e.(configAccepted); now {
				d.view.Store(c.buildView(d.set.Name))
				dirty = false
			}
		case <-tick.C:
			d.probePeers(c)
			if dirty || c.members.TakeChanged() {
				d.view.Store(c.buildView(d.set.Name))
				dirty = false
			}
		}
	}
}

// send queues an event for the control goroutine, or drops it when ctx ends.
func (d *Daemon) send(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// query runs f on the control goroutine and waits for it. If that goroutine has
// ended, query returns without running f.
func (d *Daemon) query(f func(*control)) {
	a := queryEvent{f: f, done: make(chan struct{})}
	select {
	case d.events <- a:
	case <-d.controlDone:
		return
	}
	select {
	case <-a.done:
	case <-d.controlDone:
	}
}
