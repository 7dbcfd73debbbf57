package rollout

import (
	"slices"
	"time"
)

// DefaultMaxLoads is how many weight loads a new Planner lets run at once over the whole
// fleet. It is low because the weight store is rate-limited.
const DefaultMaxLoads = 3

const (
	// minLoads is how many targets may load at once in the smallest fleet.
	minLoads = 2
	// loadDivisor lets a fifth of a fleet's targets load at once. The weight stores of fleets
	// of 9, 18 and 60 targets serve 2, 3 and 12 concurrent loads without slowing down. A
	// target that loads serves no requests: with three of nine loading at a time, rejected
	// requests and queueing at the others cost 0.08 of the value that users put on the
	// responses of a day of low load.
	loadDivisor = 5
	// maxRounds bounds the number of consecutive rounds of loads in a rollout: at 1.4 s per
	// round it takes 9 s, within its limit of 10 s.
	maxRounds = 6
)

// MaxConcurrentLoads returns how many weight loads may run at once in a fleet of that many
// targets.
func MaxConcurrentLoads(targets int) int {
	return max(minLoads, targets/loadDivisor, (targets+maxRounds-1)/maxRounds)
}

// Target is the state of one target, as input of Planner.Plan.
type Target struct {
	Name    string
	Model   string
	Version string // weight version; "" while it loads or if unknown
	Ready   bool
	Loading bool
	Held    bool // not to be loaded yet, see Pace
}

// DesiredVersion is what the configuration requires of a model.
type DesiredVersion struct {
	Version  string
	Allowed  []string // versions that may be served, best last
	MinReady float64  // share of the model's targets that must stay ready
}

// Load is an order to a target to load a version of a model's weights.
type Load struct{ Target, Model, Version string }

// pendingLoad is a planned load whose end is not known yet.
type pendingLoad struct {
	version   string
	plannedAt time.Time
}

// Planner chooses the loads of a rollout. Only the lease's holder uses one. Its state need
// not survive a change of holder: the new holder rebuilds it from the targets' state. It is
// not safe for concurrent use.
type Planner struct {
	pending     map[string]pendingLoad // by target
	bad         map[string][]string    // by model, versions that failed to load
	holdUntil   time.Time              // no orders before, since an earlier holder's may still run
	loadTimeout time.Duration          // longest duration of a load
	maxLoads    int                    // loads that may run at once
	ahead       int                    // loads planned beyond maxLoads
}

// NewPlanner returns a planner for loads that take loadTimeout at most.
func NewPlanner(loadTimeout time.Duration) *Planner {
	return &Planner{pending: map[string]pendingLoad{}, bad: map[string][]string{}, loadTimeout: loadTimeout, maxLoads: DefaultMaxLoads}
}

// LeaseAcquired records that this instance acquired the lease at now. Plan returns no loads
// until loadTimeout has passed, since loads that an earlier holder ordered may still run.
func (p *Planner) LeaseAcquired(now time.Time) {
	p.holdUntil = now.Add(p.loadTimeout)
	p.pending = map[string]pendingLoad{}
}

// SetLimits sets how many loads may run at once, and how many more Plan may return so that
// their targets can be prepared. The caller must not send more than maxLoads at once.
func (p *Planner) SetLimits(maxLoads, ahead int) { p.maxLoads, p.ahead = maxLoads, ahead }

// SetBadVersions replaces the versions that failed to load, by model.
func (p *Planner) SetBadVersions(bad map[string][]string) { p.bad = bad }

// BadVersions returns the versions that failed to load, by model.
func (p *Planner) BadVersions() map[string][]string { return p.bad }

// LoadEnded records the end of a load. A version that a target could not load (refused) is
// bad: its rollout stops and is rolled back.
func (p *Planner) LoadEnded(l Load, refused bool) {
	delete(p.pending, l.Target)
	if refused && !slices.Contains(p.bad[l.Model], l.Version) {
		p.bad[l.Model] = append(p.bad[l.Model], l.Version)
	}
}

// EffectiveVersion returns the version that a model's targets are to serve: the configured
// one, or if that is bad the best allowed one that is not; "" if there is none.
func (p *Planner) EffectiveVersion(model string, desired DesiredVersion) string {
	if !slices.Contains(p.bad[model], desired.Version) {
		return desired.Version
	}
	for i := len(desired.Allowed) - 1; i >= 0; i-- {
		if !slices.Contains(p.bad[model], desired.Allowed[i]) {
			return desired.Allowed[i]
		}
	}
	return ""
}

// Plan returns the loads to order or prepare now. It keeps to the limits of SetLimits and
// leaves each model at least its MinReady share of ready targets; targets that serve a version
// that is not allowed are loaded regardless of that share.
func (p *Planner) Plan(targets []Target, desired map[string]DesiredVersion, now time.Time) []Load {
	if now.Before(p.holdUntil) {
		return nil
	}
	loading := 0
	total, ready := map[string]int{}, map[string]int{}
	for _, t := range targets {
		p.updatePending(t, now)
		if _, pending := p.pending[t.Name]; pending || t.Loading {
			loading++
		} else if t.Ready {
			ready[t.Model]++
		}
		total[t.Model]++
	}
	var out []Load
	for _, t := range targets {
		version, due := p.dueVersion(t, desired)
		if !due || t.Held || loading >= p.maxLoads+p.ahead {
			continue
		}
		want := desired[t.Model]
		if t.Ready && slices.Contains(want.Allowed, t.Version) && ready[t.Model]-1 < minReadyTargets(want.MinReady, total[t.Model]) {
			continue // it serves an allowed version and is needed for MinReady
		}
		if t.Ready {
			ready[t.Model]--
		}
		loading++
		p.pending[t.Name] = pendingLoad{version: version, plannedAt: now}
		out = append(out, Load{Target: t.Name, Model: t.Model, Version: version})
	}
	return out
}

// dueVersion returns the version that a target is to load. due is false if it needs no load, or one
// is pending or in progress.
func (p *Planner) dueVersion(t Target, desired map[string]DesiredVersion) (version string, due bool) {
	want, ok := desired[t.Model]
	version = p.EffectiveVersion(t.Model, want)
	_, pending := p.pending[t.Name]
	return version, ok && version != "" && t.Version != version && !pending && !t.Loading
}

// updatePending removes the target's pending load if the target serves the version, or if the
// load is older than loadTimeout, so that Plan may return it again.
func (p *Planner) updatePending(t Target, now time.Time) {
	pending, ok := p.pending[t.Name]
	if ok && (t.Version == pending.version || now.Sub(pending.plannedAt) > p.loadTimeout) {
		delete(p.pending, t.Name)
	}
}

// minReadyTargets returns how many of total targets must stay ready.
func minReadyTargets(share float64, total int) int { return int(share * float64(total)) }
