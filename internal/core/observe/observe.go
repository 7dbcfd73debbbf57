// Package observe turns what is heard about targets into their routing state.
// It is pure: reports, failures, the lagging list and the configuration go in
// with the time they were met; a list of route.Target comes out.
package observe

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/route"
)

// Params are the tracker's bounds.
type Params struct {
	Failures int           // consecutive failed probes until a target is suspect
	Silence  time.Duration // age of the last report at which a target is suspect
}

// DefaultParams suit probes every quarter of a second.
var DefaultParams = Params{Failures: 3, Silence: 3 * time.Second}

// Spec is a target as configured.
type Spec struct {
	Name, Address, Zone, Model string
	Slots                      int
	Drained                    bool
}

// Report is a target's word about itself.
type Report struct {
	Version  string
	Adapters []string
	Leaving  bool
	Loading  bool
	Running  int
	Queued   int           // prompt tokens
	Age      time.Duration // when it was read
	RTT      time.Duration
}

type entry struct {
	spec     Spec
	report   Report
	at       time.Time // when the report was read; zero before the first
	failures int
	listed   bool      // the list says that it leaves
	ejected  time.Time // no new work until then
}

// Tracker holds all targets. It belongs to one goroutine.
type Tracker struct {
	p       Params
	entries map[string]*entry
	order   []string
}

// New returns a tracker without targets.
func New(p Params) *Tracker { return &Tracker{p: p, entries: map[string]*entry{}} }

// Declare replaces the set of targets. What is known of a target that keeps
// its address is kept; a new address is a new machine.
func (t *Tracker) Declare(specs []Spec) {
	next := make(map[string]*entry, len(specs))
	t.order = t.order[:0]
	for _, s := range specs {
		e := t.entries[s.Name]
		if e == nil || e.spec.Address != s.Address {
			e = &entry{}
		}
		e.spec = s
		next[s.Name] = e
		t.order = append(t.order, s.Name)
	}
	t.entries = next
}

// Heard takes a report read at now.
func (t *Tracker) Heard(name string, r Report, now time.Time) {
	if e := t.entries[name]; e != nil {
		e.report, e.at, e.failures = r, now, 0
	}
}

// Failed takes one probe that brought no report.
func (t *Tracker) Failed(name string) {
	if e := t.entries[name]; e != nil {
		e.failures++
	}
}

// Eject keeps new work from a target until a time, because runs there fail.
func (t *Tracker) Eject(name string, until time.Time) {
	if e := t.entries[name]; e != nil {
		e.ejected = until
	}
}

// Listed takes the lagging list: the names that it says are leaving.
func (t *Tracker) Listed(leaving map[string]bool) {
	for name, e := range t.entries {
		e.listed = leaving[name]
	}
}

// Settled says whether every target has been asked at least once.
func (t *Tracker) Settled() bool {
	for _, e := range t.entries {
		if e.at.IsZero() && e.failures == 0 {
			return false
		}
	}
	return true
}

// Targets returns the state of all targets at now, in the order declared.
func (t *Tracker) Targets(now time.Time) []route.Target {
	out := make([]route.Target, 0, len(t.order))
	for _, name := range t.order {
		e := t.entries[name]
		out = append(out, route.Target{
			Name: e.spec.Name, Address: e.spec.Address, Zone: e.spec.Zone, Model: e.spec.Model,
			Version: e.report.Version, Adapters: e.report.Adapters, State: t.state(e, now), Slots: e.spec.Slots,
			Running: e.report.Running, Queued: e.report.Queued, ReportMS: ms(now.Sub(e.at) + e.report.Age), RTT: ms(e.report.RTT) / 2,
		})
	}
	return out
}

// state applies the strongest word first: an operator's drain, then leaving by
// any source, then silence.
func (t *Tracker) state(e *entry, now time.Time) route.State {
	switch {
	case e.spec.Drained:
		return route.Draining
	case e.listed || e.report.Leaving:
		return route.Leaving
	case e.at.IsZero() && e.failures == 0:
		return route.Unknown
	case e.failures >= t.p.Failures, e.at.IsZero(), now.Sub(e.at) > t.p.Silence, now.Before(e.ejected):
		return route.Suspect
	case e.report.Loading:
		return route.Unknown
	}
	return route.Ready
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
