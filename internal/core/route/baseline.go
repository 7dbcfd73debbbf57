package route

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Policy names a way to pick. All but Cost are baselines: they stay in the tree
// so that every comparison is one command in one run.
type Policy string

// Policies.
const (
	Cost       Policy = ""            // predicted cost among homes and two random targets
	RoundRobin Policy = "round-robin" // each target in turn
	LeastLoad  Policy = "least-load"  // the fewest runs, by report and own work
	Affinity   Policy = "affinity"    // always the first home of the root
	Oracle     Policy = "oracle"      // lowest predicted cost over all targets; for true hints
)

// Policies lists every name that a configuration may use.
var Policies = [...]Policy{Cost, RoundRobin, LeastLoad, Affinity, Oracle}

// pickBaseline decides by one of the baselines. It considers every target of
// the pool and costs in proportion.
func pickBaseline(s *Snapshot, pl *pool, q *Query, p Params, h Hints, d *Decision) {
	best := int32(-1)
	low := math.Inf(1)
	if p.Policy == RoundRobin {
		best = nth(s, pl, q)
	}
	for _, i := range pl.ready {
		t := &s.Targets[i]
		if p.Policy == RoundRobin || !admit(t, q, &d.Filtered) {
			continue
		}
		score := 0.0
		switch p.Policy {
		case LeastLoad:
			runs, _ := h.Inflight(t.Name)
			score = math.Max(float64(t.Running), float64(runs))*16 + float64(mix(q.Rand^uint64(i))%16)
		case Affinity:
			score = -float64(mix(rootHash(q) ^ xxhash.Sum64String(t.Name)))
		case Oracle:
			c, _, _ := predict(t, q, p, h)
			score = c.CostMS
		}
		if score < low {
			low, best = score, i
		}
	}
	if best < 0 {
		return
	}
	t := &s.Targets[best]
	c, action, firstMS := predict(t, q, p, h)
	d.Candidates[0], d.N = c, 1
	d.Target, d.Action, d.FirstMS = t, action, firstMS
}

// nth returns the target whose turn it is.
func nth(s *Snapshot, pl *pool, q *Query) int32 {
	for k := range pl.ready {
		i := pl.ready[(q.Turn+uint64(k))%uint64(len(pl.ready))]
		if admit(&s.Targets[i], q, nil) {
			return i
		}
	}
	return -1
}
