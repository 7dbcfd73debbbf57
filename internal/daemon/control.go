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

// control is the mutable control state. Only the control goroutine touches it;
// all others send events and read the published view.
type control struct {
	cfg      *view.Config
	parts    map[string][]byte // buckets in force, by hash
	targets  *observe.Tracker
	members  *member.Machine
	draining bool            // by a signal
	snapshot *route.Snapshot // the last one published
	settled  bool            // stays true: a target added later makes no instance unready
	now      func() time.Time
}

// event is one change of control state. Apply runs on the control goroutine.
type event interface{ apply(*control) }

// configAccepted brings a whole, checked generation.
type configAccepted struct {
	cfg   *view.Config
	parts map[string][]byte
}

func (e configAccepted) apply(c *control) {
	if c.cfg != nil && e.cfg.Head.Generation <= c.cfg.Head.Generation {
		return // a generation never goes down
	}
	c.cfg, c.parts = e.cfg, e.parts
	c.targets.SetTargets(specs(e.cfg))
}

func specs(cfg *view.Config) []observe.Spec {
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

// targetHeard brings a target's report.
type targetHeard struct {
	name   string
	report observe.Report
}

func (e targetHeard) apply(c *control) { c.targets.RecordReport(e.name, e.report, c.now()) }

// targetFailed brings a probe that had no answer.
type targetFailed struct{ name string }

func (e targetFailed) apply(c *control) { c.targets.RecordFailure(e.name, c.now()) }

// machinesListed brings the lagging list.
type machinesListed struct{ leaving map[string]bool }

func (e machinesListed) apply(c *control) { c.targets.SetLeaving(e.leaving) }

// ask runs a function on the control goroutine and waits for it.
type ask struct {
	f    func(*control)
	done chan struct{}
}

func (e ask) apply(c *control) {
	e.f(c)
	close(e.done)
}

// view builds the picture that request goroutines read.
func (c *control) view(self string) *view.View {
	out := &view.View{Config: c.cfg, Targets: route.NewSnapshot(c.targets.Targets(c.now()), c.snapshot), Draining: c.draining}
	c.snapshot = out.Targets
	c.settled = c.settled || (c.cfg != nil && c.targets.AllObserved())
	out.TargetsProbed = c.settled
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

// publishEvery bounds how often a view is built: targets' reports come often,
// and each view costs a pass over all targets.
const publishEvery = 100 * time.Millisecond

// run is the control goroutine.
func (d *Daemon) run(ctx context.Context, c *control) {
	defer close(d.controlDone)
	tick := time.NewTicker(publishEvery)
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
				d.view.Store(c.view(d.set.Name))
				dirty = false
			}
		case <-tick.C:
			d.probePeers(c)
			if dirty || c.members.TakeChanged() {
				d.view.Store(c.view(d.set.Name))
				dirty = false
			}
		}
	}
}

// send hands an event to the control goroutine; it gives up when the process ends.
func (d *Daemon) send(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// query runs f on the control goroutine and returns when f has run, or when
// that goroutine has ended and f never will.
func (d *Daemon) query(f func(*control)) {
	a := ask{f: f, done: make(chan struct{})}
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
