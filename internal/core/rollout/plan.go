package rollout

import (
	"slices"
	"time"
)

// DefaultMaxLoads is how many weight loads may run at once over the whole fleet: the
// weight store is rate-limited (brief, "Sizes of today").
const DefaultMaxLoads = 3

const (
	// leastLoads is how many may load at once in the smallest fleet of targets.
	leastLoads = 2
	// loadParts is the part of a fleet's targets that may load at once: a fifth. The weight
	// stores of fleets of 9, 18 and 60 bear 2, 3 and 12 loads without slowing them, and
	// what loads is missed: three of nine at a time cost 0.08 of a quiet day's worth, as
	// users value their answers, by refusals and waiting for the others.
	loadParts = 5
	// mostRounds bounds how often a part of the fleet loads after another: with 1.4 s a
	// round a rollout then takes 9 s, of the 10 s that it may.
	mostRounds = 6
)

// MaxConcurrentLoads is how many weight loads may run at once in a fleet of targets.
func MaxConcurrentLoads(targets int) int {
	return max(leastLoads, targets/loadParts, (targets+mostRounds-1)/mostRounds)
}

// Target is a target as the planner sees it.
type Target struct {
	Name    string
	Model   string
	Version string // "" while it loads or is not known
	Ready   bool
	Loading bool
}

// DesiredVersion is what the configuration wants of a model.
type DesiredVersion struct {
	Version  string
	Allowed  []string
	MinReady float64 // share of the model's targets that must stay ready
}

// Load is an order to give.
type Load struct{ Target, Model, Version string }

// pending is an order that was given and not yet seen to have worked.
type pending struct {
	version string
	at      time.Time
}

// Planner chooses loads. It belongs to the lease's holder; what it forgets when
// the holder changes is found again by looking at the targets.
type Planner struct {
	flying map[string]pending
	bad    map[string][]string // versions by model that would not load
	quiet  time.Time           // no order before: another's may be under way
	grace  time.Duration       // longest time an order may take
	most   int                 // loads that may run at once
	ahead  int                 // loads planned beyond those that may run
}

// NewPlanner returns a planner for orders that take grace at most.
func NewPlanner(grace time.Duration) *Planner {
	return &Planner{flying: map[string]pending{}, bad: map[string][]string{}, grace: grace, most: DefaultMaxLoads}
}

// LeaseAcquired says that the lease was newly taken at now: for the longest time that an
// earlier holder's orders may be under way, none are given.
func (p *Planner) LeaseAcquired(now time.Time) {
	p.quiet = now.Add(p.grace)
	p.flying = map[string]pending{}
}

// SetLimits sets how many loads may run at once, and how many more may be planned, for
// targets that must be made ready for theirs. Who sends the orders holds to most.
func (p *Planner) SetLimits(most, ahead int) { p.most, p.ahead = most, ahead }

// SetBadVersions replaces what is known of bad versions.
func (p *Planner) SetBadVersions(bad map[string][]string) { p.bad = bad }

// BadVersions returns the versions that would not load, by model.
func (p *Planner) BadVersions() map[string][]string { return p.bad }

// LoadEnded takes the end of an order. A version that a target could not load is
// bad: the rollout stops and goes back.
func (p *Planner) LoadEnded(l Load, refused bool) {
	delete(p.flying, l.Target)
	if refused && !slices.Contains(p.bad[l.Model], l.Version) {
		p.bad[l.Model] = append(p.bad[l.Model], l.Version)
	}
}

// EffectiveVersion is the version that a model shall have: the configured one, or if that
// is bad the best other allowed one; "" if there is none.
func (p *Planner) EffectiveVersion(model string, w DesiredVersion) string {
	if !slices.Contains(p.bad[model], w.Version) {
		return w.Version
	}
	for i := len(w.Allowed) - 1; i >= 0; i-- {
		if !slices.Contains(p.bad[model], w.Allowed[i]) {
			return w.Allowed[i]
		}
	}
	return ""
}

// Plan returns the loads to order now, or to prepare. Never more than the limit are
// under way at once, and no model falls below its share of ready targets.
func (p *Planner) Plan(targets []Target, wishes map[string]DesiredVersion, now time.Time) []Load {
	if now.Before(p.quiet) {
		return nil
	}
	busy := 0
	total, ready := map[string]int{}, map[string]int{}
	for _, t := range targets {
		p.observe(t, now)
		if _, flying := p.flying[t.Name]; flying || t.Loading {
			busy++
		} else if t.Ready {
			ready[t.Model]++
		}
		total[t.Model]++
	}
	var out []Load
	for _, t := range targets {
		w, ok := wishes[t.Model]
		version := p.EffectiveVersion(t.Model, w)
		_, flying := p.flying[t.Name]
		if !ok || version == "" || t.Version == version || flying || t.Loading || busy >= p.most+p.ahead {
			continue
		}
		if t.Ready && slices.Contains(w.Allowed, t.Version) && ready[t.Model]-1 < floor(w.MinReady, total[t.Model]) {
			continue // it still serves, and it is needed
		}
		if t.Ready {
			ready[t.Model]--
		}
		busy++
		p.flying[t.Name] = pending{version: version, at: now}
		out = append(out, Load{Target: t.Name, Model: t.Model, Version: version})
	}
	return out
}

// observe forgets an order that is seen to have worked, or that is older than
// any order can be: it is then given again.
func (p *Planner) observe(t Target, now time.Time) {
	f, ok := p.flying[t.Name]
	if ok && (t.Version == f.version || now.Sub(f.at) > p.grace) {
		delete(p.flying, t.Name)
	}
}

func floor(share float64, total int) int { return int(share * float64(total)) }
